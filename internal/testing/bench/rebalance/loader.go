package rebalance

import (
	"time"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/staging"
)

// weightLoader simulates loading the weights of a change, step by step.
type weightLoader struct {
	d      Deployment
	budget *staging.Budget
}

func newWeightLoader(d Deployment) *weightLoader {
	return &weightLoader{d, staging.NewBudget(d.Options.MaxBytesPerMinute)}
}

// slacks returns the time that each rank waits for the slowest rank in each of the window's sampled steps.
func (s *simulation) slacks(w int) [sampledSteps][]time.Duration {
	tw := &s.trace.Windows[w]
	var perStep [sampledSteps][]time.Duration
	for i, step := range tw.Steps {
		perStep[i] = slack(s.d, rankLoads(s.d.Shape, s.current, step), tw)
	}
	return perStep
}

func slack(d Deployment, loads []float64, tw *TraceWindow) []time.Duration {
	waits := make([]float64, d.Shape.Ranks)
	for l := range d.Shape.Layers {
		t := layerTimes(d.Shape, loads, tw.Speed, l)
		slowest := floats.Max(t)
		for r := range t {
			waits[r] += slowest - t[r]
		}
	}
	// StepTime is the time of a perfectly balanced step at full load: BatchPerRank tokens per rank in each layer.
	unit := float64(d.StepTime) / (d.BatchPerRank * float64(d.Shape.Layers))
	out := make([]time.Duration, len(waits))
	for r, v := range waits {
		out[r] = time.Duration(v * unit)
	}
	return out
}

// loadResult is the outcome of loading the weights of a change.
type loadResult struct {
	// duration is the time until the loads were complete or aborted.
	duration time.Duration
	// bytes counts weights loaded and delayedSteps the steps that loading made longer.
	bytes        uint64
	delayedSteps int
	// complete is set if all weights were loaded. Paced loads are aborted after placement.PlanTimeout.
	complete bool
}

// run simulates the loads of a change. The slack of the previous step is the forecast for the next one.
func (l *weightLoader) run(now time.Time, ch *change, slacks [sampledSteps][]time.Duration) loadResult {
	if ch.paced {
		return l.paced(now, ch, slacks)
	}
	return l.unpaced(ch, slacks)
}

func (l *weightLoader) paced(now time.Time, ch *change, slacks [sampledSteps][]time.Duration) loadResult {
	var loads []staging.Load
	for _, mv := range ch.moves {
		if mv.Op == expert.OpLoad {
			loads = append(loads, staging.Load{Rank: mv.Rank, Bytes: l.d.ExpertBytes})
		}
	}
	limits := staging.Limits{StoreRate: l.d.StoreRate, CopyRate: l.d.CopyRate}
	transfer := staging.New(limits, l.budget, loads)
	var result loadResult
	for i := 0; !transfer.Done() && result.duration < placement.PlanTimeout; i++ {
		forecast, actual := slacks[i%sampledSteps], slacks[(i+1)%sampledSteps]
		delayed := false
		for _, p := range transfer.Step(now.Add(result.duration), forecast) {
			result.bytes += p.Bytes
			delayed = delayed || l.copyTime(p.Bytes) > actual[p.Rank]
		}
		if delayed {
			result.delayedSteps++
		}
		result.duration += l.d.StepTime
	}
	result.complete = transfer.Done()
	return result
}

func (l *weightLoader) copyTime(bytes uint64) time.Duration {
	return time.Duration(float64(bytes) / float64(l.d.CopyRate) * float64(time.Second))
}

// unpaced loads at the store's rate, which is split evenly between the ranks that still have weights to load.
func (l *weightLoader) unpaced(ch *change, slacks [sampledSteps][]time.Duration) loadResult {
	remaining := make([]float64, l.d.Shape.Ranks)
	result := loadResult{complete: true, bytes: uint64(expert.Loads(ch.moves)) * l.d.ExpertBytes}
	for _, mv := range ch.moves {
		if mv.Op == expert.OpLoad {
			remaining[mv.Rank] += float64(l.d.ExpertBytes)
		}
	}
	bytesPerStep := float64(l.d.StoreRate) * l.d.StepTime.Seconds()
	for i := 0; ; i++ {
		active := floats.Count(func(v float64) bool { return v > 0 }, remaining)
		if active == 0 {
			return result
		}
		delayed := false
		for r := range remaining {
			if remaining[r] <= 0 {
				continue
			}
			n := bytesPerStep / float64(active)
			remaining[r] -= n
			delayed = delayed || l.copyTime(uint64(n)) > slacks[i%sampledSteps][r]
		}
		if delayed {
			result.delayedSteps++
		}
		result.duration += l.d.StepTime
	}
}
