package slopes

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// The target size: the deployment that the product has to support.
const (
	targetEntries  = 360
	targetSlots    = 780
	targetMembers  = targetEntries + targetSlots
	targetCentres  = 6
	targetClients  = 30_000
	targetRanks    = 64
	targetExperts  = 128
	targetRequests = 8_200
	// targetDuties is one duty for each model group (3,100 accelerators in groups of 64 ranks) and one further duty.
	targetDuties = 3100/targetRanks + 1
)

// Metric describes one figure of an experiment.
type Metric struct {
	Name, Role, Unit string
	Kind             Kind
}

// Experiment measures the same figures at several sizes of one driver. Target is the driver's size that the product
// has to support.
type Experiment struct {
	Driver  string
	Sizes   []int
	Target  int
	Metrics []Metric
	// Run measures at one size and returns one value for each of Metrics.
	Run func(size int) ([]float64, error)
}

// Experiments returns all experiments in the order in which they run.
func Experiments() []Experiment {
	var all []Experiment
	all = append(all, digestExperiments()...)
	all = append(all, stateExperiments()...)
	all = append(all, usageExperiments()...)
	all = append(all, entryExperiments()...)
	all = append(all, dutyExperiments()...)
	all = append(all, revisionExperiments()...)
	// These are last because their processes keep running afterwards.
	all = append(all, requestExperiments()...)
	return all
}

// Measure runs the experiments one after another and writes the time that each took to log.
func Measure(experiments []Experiment, log io.Writer) ([]Series, error) {
	var out []Series
	for _, e := range experiments {
		began := time.Now()
		series, err := e.measure()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", e.Metrics[0].Name, err)
		}
		fmt.Fprintf(log, "%-34s %6.1fs\n", e.Metrics[0].Name, time.Since(began).Seconds())
		out = append(out, series...)
	}
	return out, nil
}

func (e Experiment) measure() ([]Series, error) {
	out := make([]Series, len(e.Metrics))
	for i, m := range e.Metrics {
		out[i] = Series{Name: m.Name, Role: m.Role, Unit: m.Unit, Kind: m.Kind, Driver: e.Driver, Target: float64(e.Target)}
	}
	for _, size := range e.Sizes {
		values, err := e.Run(size)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			out[i].Sizes = append(out[i].Sizes, float64(size))
			out[i].Values = append(out[i].Values, v)
		}
	}
	for i := range out {
		out[i].setFit()
	}
	return out, nil
}

// Table returns a table with one row per series. The suffix of the value at the target's size is M if it was measured
// and W if it is the value of the fitted line.
func Table(series []Series) report.Table {
	t := report.Table{
		Title:   "Slopes: value = intercept + slope * driver",
		Columns: []string{"figure", "role", "unit", "driver", "sizes", "values", "intercept", "slope", "residual", "target", "at target", "kind"},
	}
	for _, s := range series {
		source := "M"
		if !s.Measured {
			source = "W"
		}
		t.Add(s.Name, s.Role, s.Unit, s.Driver, joinValues(s.Sizes), joinValues(s.Values), s.Fit.Intercept, s.Fit.Slope,
			fmt.Sprintf("%.1f%%", 100*s.Fit.Residual), fmt.Sprintf("%.6g", s.Target), fmt.Sprintf("%.4g %s", s.AtTarget, source), s.Kind)
	}
	return t
}

func joinValues(values []float64) string {
	out := ""
	for i, v := range values {
		if i > 0 {
			out += " "
		}
		out += fmt.Sprintf("%.4g", v)
	}
	return out
}

// heapBytesOf returns the heap bytes retained by the value that build returns.
func heapBytesOf(build func() any) float64 {
	before := heapBytes()
	value := build()
	after := heapBytes()
	runtime.KeepAlive(value)
	return max(0, after-before)
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const (
	timingRuns = 7
	timingSpan = 15 * time.Millisecond
)

// minCallMicros returns the time of one call of f in microseconds, as the minimum over several runs, since other load
// on the machine disturbs the minimum least.
func minCallMicros(f func()) float64 {
	f()
	best := 0.0
	for run := range timingRuns {
		calls := 0
		began := time.Now()
		for time.Since(began) < timingSpan {
			f()
			calls++
		}
		each := float64(time.Since(began).Nanoseconds()) / 1e3 / float64(calls)
		if run == 0 || each < best {
			best = each
		}
	}
	return best
}
