package mapswitch

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// Figures holds the means over several switches without a fault.
type Figures struct {
	// Messages is the number of messages that all slots and the proposer sent, Milliseconds the duration of the switch,
	// PausedSteps the number of steps that it paused.
	Messages, Milliseconds, PausedSteps float64
}

// MeasureSwitches starts a group and switches its map the given number of times.
func MeasureSwitches(ranks, switches int, stepTime time.Duration, seed uint64) (Figures, error) {
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
		took = append(took, float64(s.duration.Microseconds())/1e3)
		paused = append(paused, float64(s.pausedSteps))
	}
	mean := func(v []float64) float64 { return report.Summarize(v).Mean }
	return Figures{mean(messages), mean(took), mean(paused)}, nil
}
