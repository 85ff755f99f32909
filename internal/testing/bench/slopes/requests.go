package slopes

import (
	"fmt"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/load"
)

const costWorkers = 8

// sharedCoster starts the processes once for all experiments that send requests.
var sharedCoster = sync.OnceValues(func() (*load.Coster, error) { return load.NewCoster(costWorkers) })

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// modelFigures streams answers of the given length and returns what entry and slot add to one.
func modelFigures(tokens int) ([]float64, error) {
	const requests = 800
	c, err := sharedCoster()
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	cost, err := c.Model(requests, tokens)
	return []float64{micros(cost.Both - cost.Straight)}, err
}

// warmupRequests go before a measurement of plain requests.
const warmupRequests = 1000

// plainFigures sends so many plain requests and returns what they add in all.
func plainFigures(requests int) ([]float64, error) {
	c, err := sharedCoster()
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	// The first requests of a path make its connections and fill its pools, which would hide what one request takes.
	if _, err := c.Plain(warmupRequests); err != nil {
		return nil, err
	}
	cost, err := c.Plain(requests)
	n := float64(requests) / 1e3
	return []float64{n * micros(cost.Entry-cost.Straight), n * micros(cost.Both-cost.Entry)}, err
}

func addressFigures(requests int) ([]float64, error) {
	c, err := sharedCoster()
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
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
