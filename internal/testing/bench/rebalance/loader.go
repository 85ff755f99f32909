package rebalance

import (
	"time"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/staging"
)

// stage loads the weights of changes, step by step.
type stage struct {
	d      Deployment
	budget *staging.Budget
}

func newStage(d Deployment) *stage {
	return &stage{d, staging.NewBudget(d.Options.MaxBytesPerMinute)}
}

// slacks returns how long each rank waits for the slowest in each of the window's sampled steps.
func (s *simulation) slacks(w int) [sampledSteps][]time.Duration {
	tw := &s.trace.Windows[w]
	var out [sampledSteps][]time.Duration
	for i, step := range tw.Steps {
		out[i] = slack(s.d, rankLoads(s.d.Shape, s.current, step), tw)
	}
	return out
}

func slack(d Deployment, loads []float64, tw *TraceWindow) []time.Duration {
	wait := make([]float64, d.Shape.Ranks)
	for l := range d.Shape.Layers {
		t := layerTimes(d.Shape, loads, tw.Speed, l)
		slowest := floats.Max(t)
		for r := range t {
			wait[r] += slowest - t[r]
		}
	}
	// A step at full load and perfect balance, with all of its layers, has BatchPerRank tokens a rank in each of them.
	unit := float64(d.StepTime) / (d.BatchPerRank * float64(d.Shape.Layers))
	out := make([]time.Duration, len(wait))
	for r, v := range wait {
		out[r] = time.Duration(v * unit)
	}
	return out
}

// staged is what became of the loads of a change.
type staged struct {
	// took is how long they took, or until they were given up.
	took time.Duration
	// bytes were loaded, and waited steps were made longer by that.
	bytes  uint64
	waited int
	done   bool
}

// run carries out the loads of a change. The slack of a step is forecast by that of the step before.
func (s *stage) run(now time.Time, ch *change, slacks [sampledSteps][]time.Duration) staged {
	if ch.paced {
		return s.paced(now, ch, slacks)
	}
	return s.unpaced(ch, slacks)
}

func (s *stage) paced(now time.Time, ch *change, slacks [sampledSteps][]time.Duration) staged {
	var loads []staging.Load
	for _, mv := range ch.moves {
		if mv.Op == expert.OpLoad {
			loads = append(loads, staging.Load{Rank: mv.Rank, Bytes: s.d.ExpertBytes})
		}
	}
	limits := staging.Limits{StoreRate: s.d.StoreRate, CopyRate: s.d.CopyRate}
	st := staging.New(limits, s.budget, loads)
	var out staged
	for i := 0; !st.Done() && out.took < placement.PlanTimeout; i++ {
		forecast, real := slacks[i%sampledSteps], slacks[(i+1)%sampledSteps]
		late := false
		for _, p := range st.Step(now.Add(out.took), forecast) {
			out.bytes += p.Bytes
			late = late || s.copyTime(p.Bytes) > real[p.Rank]
		}
		if late {
			out.waited++
		}
		out.took += s.d.StepTime
	}
	out.done = st.Done()
	return out
}

func (s *stage) copyTime(bytes uint64) time.Duration {
	return time.Duration(float64(bytes) / float64(s.d.CopyRate) * float64(time.Second))
}

// unpaced loads at the store's rate, which the ranks that still have something to load share evenly.
func (s *stage) unpaced(ch *change, slacks [sampledSteps][]time.Duration) staged {
	left := make([]float64, s.d.Shape.Ranks)
	out := staged{done: true, bytes: uint64(expert.Loads(ch.moves)) * s.d.ExpertBytes}
	for _, mv := range ch.moves {
		if mv.Op == expert.OpLoad {
			left[mv.Rank] += float64(s.d.ExpertBytes)
		}
	}
	step := float64(s.d.StoreRate) * s.d.StepTime.Seconds()
	for i := 0; ; i++ {
		active := floats.Count(func(v float64) bool { return v > 0 }, left)
		if active == 0 {
			return out
		}
		late := false
		for r := range left {
			if left[r] <= 0 {
				continue
			}
			n := step / float64(active)
			left[r] -= n
			late = late || s.copyTime(uint64(n)) > slacks[i%sampledSteps][r]
		}
		if late {
			out.waited++
		}
		out.took += s.d.StepTime
	}
}
