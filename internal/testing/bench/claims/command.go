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

// Parameters of the experiment.
const (
	// maxWriteRate is the part of the table's capacity, several hundred writes per second, that claims may use.
	maxWriteRate      = 300.0
	minInterval       = 10 * time.Millisecond
	groupBatch        = 128
	groupInFlight     = 4
	lostShare         = 0.01
	unlimitedInFlight = 1 << 20
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
	cmd := app.Command("claims", "Measure writes to the platform's table and the waiting time of claims by claim rate.")
	cmd.Flag("seed", "Seed of the first run.").Default("1").Uint64Var(&o.seed)
	cmd.Flag("seeds", "Runs with consecutive seeds.").Default("5").IntVar(&o.seeds)
	cmd.Flag("duration", "Virtual time of arrivals in one run.").Default("20s").DurationVar(&o.duration)
	cmd.Action(func(*kingpin.ParseContext) error { return run(o, os.Stdout) })
}

// strategy is a way to write claims, with its scenario for a number of slots.
type strategy struct {
	name     string
	scenario func(slots int) Scenario
}

var strategies = []strategy{
	{"one a transaction", func(int) Scenario {
		return Scenario{MaxBatch: 1, MaxInFlight: unlimitedInFlight}
	}},
	{"group commit", func(slots int) Scenario {
		interval := claims.IntervalFor(slots, maxWriteRate, minInterval)
		return Scenario{MaxBatch: groupBatch, MaxInFlight: groupInFlight, Interval: interval}
	}},
}

// summary summarizes the runs of one scenario: the mean writes and rows per second, the quantiles of all waits in ms and
// the total of refused claims.
type summary struct {
	writes, rows, p50, p95, refused float64
}

// measure runs a scenario with all seeds.
func measure(o options, sc Scenario) summary {
	var sum summary
	var waits []float64
	seconds := sc.Duration.Seconds() * float64(o.seeds)
	for i := range o.seeds {
		f := Run(sc, o.seed+uint64(i))
		sum.writes += float64(f.Writes) / seconds
		sum.rows += float64(f.Rows) / seconds
		sum.refused += float64(f.Refused)
		waits = append(waits, f.Waits...)
	}
	sum.p50 = report.Quantile(0.5, waits) * 1000
	sum.p95 = report.Quantile(0.95, waits) * 1000
	return sum
}

func run(o options, w io.Writer) error {
	table := report.Table{
		Title:   fmt.Sprintf("Writes for claims: seeds %d to %d, %v each, 1%% of answers lost", o.seed, o.seed+uint64(o.seeds)-1, o.duration),
		Columns: []string{"slots", "way", "claims/s", "writes/s", "rows/s", "wait p50 ms", "wait p95 ms", "refused"},
	}
	var criteria []report.Criterion
	for _, slots := range []int{3, 30, 100} {
		for _, s := range strategies {
			criteria = append(criteria, measureStrategy(o, &table, slots, s)...)
		}
	}
	if err := table.Text(w); err != nil {
		return err
	}
	_, err := report.WriteCriteria(w, criteria)
	return err
}

// measureStrategy adds the rows of one strategy to the table and returns the criterion of group commit.
func measureStrategy(o options, table *report.Table, slots int, s strategy) []report.Criterion {
	var writes []float64
	for _, rate := range rates {
		sc := s.scenario(slots)
		sc.Slots, sc.Rate, sc.LostShare, sc.Duration = slots, rate, lostShare, o.duration
		sum := measure(o, sc)
		writes = append(writes, sum.writes)
		table.Add(slots, s.name, rate, sum.writes, sum.rows, sum.p50, sum.p95, sum.refused)
	}
	_, slope := stat.LinearRegression(rates, writes, nil, false)
	table.Add(slots, s.name, "slope", slope, "", "", "", "")
	if s.name != "group commit" {
		return nil
	}
	last := writes[len(writes)-1]
	return []report.Criterion{
		{Text: fmt.Sprintf("%d slots: writes/s at %.0f claims/s", slots, rates[len(rates)-1]), Reached: last, Bound: report.AtMost, Limit: maxWriteRate * 1.05},
	}
}
