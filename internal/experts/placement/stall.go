package placement

import "time"

const (
	// StallAfter is how long a group must make no progress before a rank counts as permanently stalled.
	StallAfter = 30 * time.Second
	// idleAfter is how long a rank without experts may complete no step before it counts as unusable and gets none.
	idleAfter = 5 * time.Minute
)

// stalls detects ranks that permanently block their group. The group runs in lockstep: no rank can complete a step
// without the others. So while any rank completes steps, none is stalled, however long a rank has not reported.
type stalls struct {
	newestStep   uint64
	lastProgress time.Time
	lastReport   []time.Time
	waiting      []bool
	// lastStep is the newest step of each rank, and lastAdvance when it was reported.
	lastStep    []uint64
	lastAdvance []time.Time
}

func newStalls(ranks int) *stalls {
	return &stalls{
		lastReport: make([]time.Time, ranks), waiting: make([]bool, ranks),
		lastStep: make([]uint64, ranks), lastAdvance: make([]time.Time, ranks),
	}
}

func (s *stalls) observe(now time.Time, r Report) {
	if r.Step > s.newestStep || s.lastProgress.IsZero() {
		s.newestStep = r.Step
		s.lastProgress = now
	}
	if r.Step > s.lastStep[r.Rank] {
		s.lastStep[r.Rank] = r.Step
		s.lastAdvance[r.Rank] = now
	}
	s.lastReport[r.Rank] = now
	s.waiting[r.Rank] = r.Waiting && r.Step >= s.newestStep
}

// stalledRanks returns which ranks are stalled. No rank counts as stalled until the group has made no progress for
// StallAfter. A rank that has recently reported that it waits is healthy. Unless a majority of ranks is healthy, no
// rank counts as stalled: a reader of the reports that is partitioned from some of the ranks would otherwise mistake
// the unresponsive ranks for stalled ones and evacuate them all.
func (s *stalls) stalledRanks(now time.Time) []bool {
	stalled := make([]bool, len(s.lastReport))
	if s.lastProgress.IsZero() || now.Sub(s.lastProgress) < StallAfter {
		return stalled
	}
	waiting := 0
	for r := range stalled {
		healthy := s.waiting[r] && now.Sub(s.lastReport[r]) < StallAfter
		stalled[r] = !healthy
		if healthy {
			waiting++
		}
	}
	if 2*waiting <= len(stalled) {
		clear(stalled)
	}
	return stalled
}

// idleRanks returns which ranks hold no experts, according to used, and have completed no step for idleAfter. It guards
// against this failure: a rank was evacuated, the others run steps without it, so it no longer counts as stalled, and
// it gets its experts back while it is dead.
func (s *stalls) idleRanks(now time.Time, used []int) []bool {
	out := make([]bool, len(used))
	for r := range used {
		out[r] = used[r] == 0 && now.Sub(s.lastAdvance[r]) > idleAfter
	}
	return out
}
