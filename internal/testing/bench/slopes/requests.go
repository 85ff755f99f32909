package slopes

import (
	"fmt"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/load"
)

const costWorkers = 8

// sharedCostMeter starts the processes on first use and shares them between all experiments that send requests.
var sharedCostMeter = sync.OnceValues(func() (*load.CostMeter, error) { return load.NewCostMeter(costWorkers) })

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// modelFigures streams responses of the given length and returns the processor time that entry and slot add to a
// request, in microseconds.
func modelFigures(tokens int) ([]float64, error) {
	const requests = 800
	c, err := sharedCostMeter()
	if err != nil {
		return nil, fmt.Errorf("start processes: %w", err)
	}
	cost, err := c.Model(requests, tokens)
	return []float64{micros(cost.EntryAndSlot - cost.Direct)}, err
}

// warmupRequests is the number of plain requests sent before a measurement.
const warmupRequests = 1000

// plainFigures sends the given number of plain requests and returns the total processor time in ms that entry and slot
// add to them.
func plainFigures(requests int) ([]float64, error) {
	c, err := sharedCostMeter()
	if err != nil {
		return nil, fmt.Errorf("start processes: %w", err)
	}
	// The first requests of a path open connections and fill pools, which would distort the cost of a request.
	if _, err := c.Plain(warmupRequests); err != nil {
		return nil, err
	}
	cost, err := c.Plain(requests)
	n := float64(requests) / 1e3
	return []float64{n * micros(cost.Entry-cost.Direct), n * micros(cost.EntryAndSlot-cost.Entry)}, err
}

// addressFigures sends the given number of requests for addresses and returns their total processor time in ms and the
// size of one response body in bytes.
func addressFigures(requests int) ([]float64, error) {
	c, err := sharedCostMeter()
	if err != nil {
		return nil, fmt.Errorf("start processes: %w", err)
	}
	each, size, err := c.Addresses(requests)
	return []float64{float64(requests) / 1e3 * micros(each), float64(size)}, err
}

func requestExperiments() []Experiment {
	return []Experiment{
		{
			Driver: "tokens of a streamed answer", Sizes: []int{8, 32, 64, 128, 208}, Target: 208,
			Metrics: []Metric{{"request.model.added", "entry traffic and slot", "µs a request", Timed}},
			Run:     modelFigures,
		},
		{
			Driver: "plain requests", Sizes: []int{1000, 2000, 4000, 8000}, Target: targetRequests,
			Metrics: []Metric{{"request.plain.entry", "entry traffic", "ms", Timed}, {"request.plain.slot", "slot", "ms", Timed}},
			Run:     plainFigures,
		},
		{
			Driver: "questions for addresses", Sizes: []int{1000, 2000, 4000, 8000}, Target: 1000,
			Metrics: []Metric{{"addresses.time", "caller's address answers", "ms", Timed}, {"addresses.bytes", "caller's address answers", "B of one body", Exact}},
			Run:     addressFigures,
		},
	}
}
