package mapswitch

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// Figures are the means over some switches without a fault.
type Figures struct {
	// Messages is how many all slots and the proposer sent, Milliseconds how long the switch took, PausedSteps how many
	// steps it held up.
	Messages, Milliseconds, PausedSteps float64
}

// Switches starts a group and switches its map so many times.
func Switches(ranks, switches int, stepTime time.Duration, seed uint64) (Figures, error) {
	g, err := startGroup(ranks, stepTime, seed)
	if err != nil {
		return Figures{}, err
	}
	defer g.close()
	var messages, took, paused []float64
	for i := range switches {
		s, err := g.measure(expertmap.MapID{Version: uint64(i + 2), Name: "next"}, false)
		if err != nil {
			return Figures{}, err
		}
		messages = append(messages, float64(s.messages))
		took = append(took, float64(s.took.Microseconds())/1e3)
		paused = append(paused, float64(s.steps))
	}
	mean := func(v []float64) float64 { return report.Summarize(v).Mean }
	return Figures{mean(messages), mean(took), mean(paused)}, nil
}
