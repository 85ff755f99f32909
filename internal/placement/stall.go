package placement

import "time"

// StallAfter is for how long a group must stand still before a rank counts as stalled for good.
const StallAfter = 30 * time.Second

// stalls finds ranks that hold their group for good. In lock-step no rank can complete a step without the others, so as
// long as any rank completes steps, none is stalled, however long one has not reported.
type stalls struct {
	step     uint64
	progress time.Time
	heard    []time.Time
	waiting  []bool
}

func newStalls(ranks int) *stalls {
	return &stalls{heard: make([]time.Time, ranks), waiting: make([]bool, ranks)}
}

func (s *stalls) observe(now time.Time, r Report) {
	if r.Step > s.step || s.progress.IsZero() {
		s.step = r.Step
		s.progress = now
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
