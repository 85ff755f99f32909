// Command cardamomyoke-bench measures the system: load, policies and experiments, each with a seed and a table.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/bench/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/config"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/demo"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/load"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/mapswitch"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/policy"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/rebalance"
	"github.com/cardamomyoke/cardamomyoke/internal/bench/slopes"
)

func main() {
	app := kingpin.New("cardamomyoke-bench", "Load and experiments for cardamomyoke.")
	// Each experiment lives in its own package below internal/bench and adds its command here with Register(app).
	claims.Register(app)
	config.Register(app)
	demo.Register(app)
	quarantine.Register(app)
	rebalance.Register(app)
	load.Register(app)
	mapswitch.Register(app)
	policy.Register(app)
	slopes.Register(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
