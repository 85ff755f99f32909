package rebalance

import (
	"fmt"
	"io"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// strategies lists the strategies in the row order of the tables.
var strategies = []string{NameStatic, NameRepack, NameGreedy, NamePolicy, NameBound}

// Settings configures a run of the bench.
type Settings struct {
	Deployment Deployment
	// Seed is the first seed; Seeds is the number of consecutive seeds.
	Seed  uint64
	Seeds int
	// Hours is the length of each trace in hours.
	Hours int
	// Workers is the number of traces that run concurrently.
	Workers int
	// Out is the folder for the plots.
	Out string
}

// Results holds the results of each scenario and strategy, indexed by seed.
type Results map[Scenario]map[string][]Result

// RunAll runs all strategies through all scenarios and seeds.
func RunAll(s Settings) (Results, error) {
	all := Results{}
	var g errgroup.Group
	g.SetLimit(max(1, s.Workers))
	for _, sc := range Scenarios() {
		all[sc] = map[string][]Result{}
		for _, name := range strategies {
			all[sc][name] = make([]Result, s.Seeds)
		}
		for i := range s.Seeds {
			byName := all[sc]
			g.Go(func() error { return runTrace(s, sc, i, byName) })
		}
	}
	if err := g.Wait(); err != nil {
		return nil, fmt.Errorf("rebalance: %w", err)
	}
	return all, nil
}

func runTrace(s Settings, sc Scenario, seedIndex int, byName map[string][]Result) error {
	t := NewTrace(s.Deployment, sc, s.Seed+uint64(seedIndex), time.Duration(s.Hours)*time.Hour)
	for _, name := range strategies {
		if name == NameBound {
			byName[name][seedIndex] = Bound(s.Deployment, t)
			continue
		}
		res, err := Run(s.Deployment, t, name)
		if err != nil {
			return fmt.Errorf("%s seed %d, %s: %w", sc, t.Seed, name, err)
		}
		byName[name][seedIndex] = res
	}
	return nil
}

// figureBySeed returns the figure that pick selects, one value per seed.
func figureBySeed(results []Result, pick func(figures) float64) []float64 {
	out := make([]float64, len(results))
	for i, r := range results {
		out[i] = pick(r.figures())
	}
	return out
}

// Table returns the mean and spread over seeds, with one row per scenario and strategy.
func (r Results) Table(d Deployment) report.Table {
	t := report.Table{
		Title:   "rebalance --deployment " + d.Name,
		Columns: []string{"trace", "policy", "skew p50", "skew p99", "skew mean", "GB moved", "loads", "switches", "steps that waited"},
	}
	for _, sc := range Scenarios() {
		for _, name := range strategies {
			summarize := func(pick func(figures) float64) report.Summary {
				return report.Summarize(figureBySeed(r[sc][name], pick))
			}
			t.Add(sc, name,
				summarize(func(f figures) float64 { return f.p50 }), summarize(func(f figures) float64 { return f.p99 }),
				summarize(func(f figures) float64 { return f.mean }), summarize(func(f figures) float64 { return f.gigabytes }),
				summarize(func(f figures) float64 { return f.loads }), summarize(func(f figures) float64 { return f.switches }),
				summarize(func(f figures) float64 { return f.delayedSteps }))
		}
	}
	return t
}

// Plots writes one SVG file per scenario with the skew over time for the first seed, and one with the p99 skew of all
// strategies.
func (r Results) Plots(d Deployment, out string) error {
	var categories []string
	for _, sc := range Scenarios() {
		categories = append(categories, string(sc))
		if err := r.plotDay(d, sc, out); err != nil {
			return err
		}
	}
	var bars []report.Bars
	for _, name := range strategies {
		b := report.Bars{Name: name}
		for _, sc := range Scenarios() {
			b.Values = append(b.Values, report.Summarize(figureBySeed(r[sc][name], func(f figures) float64 { return f.p99 })).Mean)
		}
		bars = append(bars, b)
	}
	labels := report.Labels{Title: d.Name + ": step-time skew, p99, mean over seeds", Y: "slowest rank over mean"}
	return report.BarPlot(filepath.Join(out, "rebalance-"+d.Name+"-p99.svg"), labels, categories, bars...)
}

// plotPoints is the approximate number of points of a line; each is the mean of equally many consecutive steps.
const plotPoints = 96

func (r Results) plotDay(d Deployment, sc Scenario, out string) error {
	var lines []report.Series
	for _, name := range strategies {
		lines = append(lines, smoothed(name, r[sc][name][0].Skew))
	}
	labels := report.Labels{Title: fmt.Sprintf("%s, %s: step-time skew", d.Name, sc), X: "hour", Y: "slowest rank over mean"}
	return report.LinePlot(filepath.Join(out, fmt.Sprintf("rebalance-%s-%s.svg", d.Name, sc)), labels, lines...)
}

func smoothed(name string, skew []float64) report.Series {
	s := report.Series{Name: name}
	size := max(1, len(skew)/plotPoints)
	for from := 0; from+size <= len(skew); from += size {
		s.X = append(s.X, float64(from)/sampledSteps*Window.Hours())
		s.Y = append(s.Y, report.Summarize(skew[from:from+size]).Mean)
	}
	return s
}

// Write prints the table and the criteria, writes the plots and reports whether all criteria are met.
func (r Results) Write(w io.Writer, s Settings) (bool, error) {
	t := r.Table(s.Deployment)
	if err := t.Text(w); err != nil {
		return false, err
	}
	if err := r.Plots(s.Deployment, s.Out); err != nil {
		return false, err
	}
	return report.WriteCriteria(w, r.Criteria(s.Deployment))
}
