package quarantine

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

type options struct {
	seed  uint64
	seeds int
}

// Register adds the quarantine command.
func Register(app *kingpin.Application) {
	var o options
	cmd := app.Command("quarantine", "Measure how many upstreams a poisonous request crashes, and its effect on other requests.")
	cmd.Flag("seed", "Seed of the first run.").Default("1").Uint64Var(&o.seed)
	cmd.Flag("seeds", "Runs with consecutive seeds.").Default("20").IntVar(&o.seeds)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, os.Stdout) })
}

type namedScenario struct {
	name     string
	scenario Scenario
}

func scenarios() []namedScenario {
	base := Scenario{Entries: 7, Upstreams: 16, Batch: 8, Poison: true, Duration: 2 * time.Minute}
	oneEntry, otherCrashes, noPoison, disabled := base, base, base, base
	oneEntry.Entries = 1
	otherCrashes.OtherCrashInterval = 10 * time.Minute
	noPoison.OtherCrashInterval = 2 * time.Minute
	noPoison.Poison = false
	disabled.Disabled = true
	return []namedScenario{
		{"resent through 7 entries at once", base},
		{"resent through 1 entry", oneEntry},
		{"7 entries, other deaths every 10 min an upstream", otherCrashes},
		{"no such request, deaths every 2 min an upstream", noPoison},
		{"7 entries, no quarantine (baseline)", disabled},
	}
}

func run(o options, w io.Writer) error {
	table := report.Table{
		Title:   fmt.Sprintf("Requests that crash upstreams: 16 upstreams, seeds %d to %d, 2 min each", o.seed, o.seed+uint64(o.seeds)-1),
		Columns: []string{"scenario", "taken mean", "taken most", "deaths", "innocents", "refused", "late", "ran alone"},
	}
	for _, n := range scenarios() {
		var sum Result
		maxPoisonCrashes := 0
		for i := range o.seeds {
			f := Run(n.scenario, o.seed+uint64(i))
			maxPoisonCrashes = max(maxPoisonCrashes, f.PoisonCrashes)
			sum.PoisonCrashes += f.PoisonCrashes
			sum.Crashes += f.Crashes
			sum.OtherRequests += f.OtherRequests
			sum.FalselyRefused += f.FalselyRefused
			sum.Late += f.Late
			sum.RanAlone += f.RanAlone
		}
		table.Add(n.name, float64(sum.PoisonCrashes)/float64(o.seeds), maxPoisonCrashes, sum.Crashes, sum.OtherRequests, sum.FalselyRefused, sum.Late, sum.RanAlone)
	}
	return table.Text(w)
}
