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
	cmd := app.Command("quarantine", "Upstreams that one request takes down which crashes each one that runs it.")
	cmd.Flag("seed", "Seed of the first run.").Default("1").Uint64Var(&o.seed)
	cmd.Flag("seeds", "Runs with consecutive seeds.").Default("20").IntVar(&o.seeds)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, os.Stdout) })
}

type named struct {
	name string
	sc   Scenario
}

func scenarios() []named {
	base := Scenario{Entries: 7, Upstreams: 16, Batch: 8, Poison: true, Duration: 2 * time.Minute}
	one, own, quiet, off := base, base, base, base
	one.Entries = 1
	own.OwnDeaths = 10 * time.Minute
	quiet.OwnDeaths = 2 * time.Minute
	quiet.Poison = false
	off.Off = true
	return []named{
		{"resent through 7 entries at once", base},
		{"resent through 1 entry", one},
		{"7 entries, other deaths every 10 min an upstream", own},
		{"no such request, deaths every 2 min an upstream", quiet},
		{"7 entries, no quarantine (baseline)", off},
	}
}

func run(o options, w io.Writer) error {
	table := report.Table{
		Title:   fmt.Sprintf("Requests that crash upstreams: 16 upstreams, seeds %d to %d, 2 min each", o.seed, o.seed+uint64(o.seeds)-1),
		Columns: []string{"scenario", "taken mean", "taken most", "deaths", "innocents", "refused", "late", "ran alone"},
	}
	for _, n := range scenarios() {
		var sum Found
		most := 0
		for i := range o.seeds {
			f := Run(n.sc, o.seed+uint64(i))
			most = max(most, f.Taken)
			sum.Taken += f.Taken
			sum.Deaths += f.Deaths
			sum.Innocents += f.Innocents
			sum.Refused += f.Refused
			sum.Late += f.Late
			sum.RanAlone += f.RanAlone
		}
		table.Add(n.name, float64(sum.Taken)/float64(o.seeds), most, sum.Deaths, sum.Innocents, sum.Refused, sum.Late, sum.RanAlone)
	}
	return table.Text(w)
}
