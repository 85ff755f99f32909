package placement

import "time"

const (
	// StallAfter is for how long a group must stand still before a rank counts as stalled for good.
	StallAfter = 30 * time.Second
	// idleAfter is for how long a rank without experts may complete no step before it gets none.
	idleAfter = 5 * time.Minute
)

// stalls finds ranks that hold their group for good. In lock-step no rank can complete a step without the others, so as
// long as any rank completes steps, none is stalled, however long one has not reported.
type stalls struct {
	step     uint64
	progress time.Time
	heard    []time.Time
	waiting  []bool
	// last is the newest step of each rank, and advanced when it was heard of.
	last     []uint64
	advanced []time.Time
}

func newStalls(ranks int) *stalls {
	return &stalls{
		heard: make([]time.Time, ranks), waiting: make([]bool, ranks),
		last: make([]uint64, ranks), advanced: make([]time.Time, ranks),
	}
}

func (s *stalls) observe(now time.Time, r Report) {
	if r.Step > s.step || s.progress.IsZero() {
		s.step = r.Step
		s.progress = now
	}
	if r.Step > s.last[r.Rank] {
		s.last[r.Rank] = r.Step
		s.advanced[r.Rank] = now
	}
	s.heard[r.Rank] = now
	s.waiting[r.Rank] = r.Waiting && r.Step >= s.step
}

// find returns which ranks are stalled. Failure: the reader of the reports is cut off from part of the group, takes the
// silent ranks for dead and drains them all. So a majority must report afresh that it waits; a rank that does is well.
func (s *stalls) find(now time.Time) []bool {
	stalled := make([]bool, len(s.heard))
	if s.progress.IsZero() || now.Sub(s.progress) < StallAfter {
		return stalled
	}
	waiting := 0
	for r := range stalled {
		well := s.waiting[r] && now.Sub(s.heard[r]) < StallAfter
		stalled[r] = !well
		if well {
			waiting++
		}
	}
	if 2*waiting <= len(stalled) {
		clear(stalled)
	}
	return stalled
}

// idle returns which of the ranks that hold nothing, by used slots, have not stepped lately. Failure: a rank was drained,
// the others step on without it, so that it no longer counts as stalled, and it gets its experts back while it is dead.
func (s *stalls) idle(now time.Time, used []int) []bool {
	out := make([]bool, len(used))
	for r := range used {
		out[r] = used[r] == 0 && now.Sub(s.advanced[r]) > idleAfter
	}
	return out
}
