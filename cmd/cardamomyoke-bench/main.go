// Command cardamomyoke-bench measures the system: load, policies and experiments. Each measurement takes a seed and
// reports a table.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/config"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/demo"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/htmlreport"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/load"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/mapswitch"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/policy"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/rebalance"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/slopes"
)

func main() {
	app := kingpin.New("cardamomyoke-bench", "Load and experiments for cardamomyoke.")
	// Each experiment is in its own package below internal/testing/bench, whose Register function adds its command.
	claims.Register(app)
	config.Register(app)
	demo.Register(app)
	quarantine.Register(app)
	rebalance.Register(app)
	load.Register(app)
	mapswitch.Register(app)
	policy.Register(app)
	slopes.Register(app)
	htmlreport.Register(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
