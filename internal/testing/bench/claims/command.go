package claims

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"gonum.org/v1/gonum/stat"

	"github.com/cardamomyoke/cardamomyoke/internal/state/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// Bounds of the experiment.
const (
	// writeShare is how many of the table's several hundred writes a second claims may take.
	writeShare       = 300.0
	shortestInterval = 10 * time.Millisecond
	groupBatch       = 128
	groupInFlight    = 4
	lostShare        = 0.01
	manyInFlight     = 1 << 20
)

var rates = []float64{10, 30, 100, 300, 1000, 3000}

type options struct {
	seed     uint64
	seeds    int
	duration time.Duration
}

// Register adds the claims command.
func Register(app *kingpin.Application) {
	var o options
	cmd := app.Command("claims", "Writes to the platform's table against claims a second, and how long a claim waits.")
	cmd.Flag("seed", "Seed of the first run.").Default("1").Uint64Var(&o.seed)
	cmd.Flag("seeds", "Runs with consecutive seeds.").Default("5").IntVar(&o.seeds)
	cmd.Flag("duration", "Virtual time of arrivals in one run.").Default("20s").DurationVar(&o.duration)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, os.Stdout) })
}

// contender is one way to write claims.
type contender struct {
	name     string
	scenario func(slots int) Scenario
}

var contenders = []contender{
	{"one a transaction", func(int) Scenario {
		return Scenario{MaxBatch: 1, MaxInFlight: manyInFlight}
	}},
	{"group commit", func(slots int) Scenario {
		interval := claims.IntervalFor(slots, writeShare, shortestInterval)
		return Scenario{MaxBatch: groupBatch, MaxInFlight: groupInFlight, Interval: interval}
	}},
}

// line is the mean over seeds of one scenario.
type line struct {
	writes, rows, p50, p95, refused float64
}

func measure(o options, sc Scenario) line {
	var l line
	var waits []float64
	seconds := sc.Duration.Seconds() * float64(o.seeds)
	for i := range o.seeds {
		f := Run(sc, o.seed+uint64(i))
		l.writes += float64(f.Writes) / seconds
		l.rows += float64(f.Rows) / seconds
		l.refused += float64(f.Refused)
		waits = append(waits, f.Waits...)
	}
	l.p50 = report.Quantile(0.5, waits) * 1000
	l.p95 = report.Quantile(0.95, waits) * 1000
	return l
}

func run(o options, w io.Writer) error {
	table := report.Table{
		Title:   fmt.Sprintf("Writes for claims: seeds %d to %d, %v each, 1%% of answers lost", o.seed, o.seed+uint64(o.seeds)-1, o.duration),
		Columns: []string{"slots", "way", "claims/s", "writes/s", "rows/s", "wait p50 ms", "wait p95 ms", "refused"},
	}
	var verdicts []report.Claim
	for _, slots := range []int{3, 30, 100} {
		for _, c := range contenders {
			verdicts = append(verdicts, measureContender(o, &table, slots, c)...)
		}
	}
	if err := table.Text(w); err != nil {
		return err
	}
	_, err := report.WriteClaims(w, verdicts)
	return err
}

func measureContender(o options, table *report.Table, slots int, c contender) []report.Claim {
	var writes []float64
	for _, rate := range rates {
		sc := c.scenario(slots)
		sc.Slots, sc.Rate, sc.Lost, sc.Duration = slots, rate, lostShare, o.duration
		l := measure(o, sc)
		writes = append(writes, l.writes)
		table.Add(slots, c.name, rate, l.writes, l.rows, l.p50, l.p95, l.refused)
	}
	_, slope := stat.LinearRegression(rates, writes, nil, false)
	table.Add(slots, c.name, "slope", slope, "", "", "", "")
	if c.name != "group commit" {
		return nil
	}
	last := writes[len(writes)-1]
	return []report.Claim{
		{Text: fmt.Sprintf("%d slots: writes/s at %.0f claims/s", slots, rates[len(rates)-1]), Reached: last, Bound: report.AtMost, Limit: writeShare * 1.05},
	}
}
