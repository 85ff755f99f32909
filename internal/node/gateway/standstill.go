package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
)

// stallsAfter is for how long none of the streams of a group may get an event before the group counts as standing still:
// three times the longest pause that callers of usual routes accept, and more than a pass takes in which all ranks read
// prompts by a bad map (270 ms).
const stallsAfter = 360 * time.Millisecond

// pulse is when the streams of a service got their last event. It is safe for concurrent use.
//
// Failure: a rank crashes or is cut off. All others wait for it, and still say that their group is open; for one and a half
// seconds nobody refuses anything. What is sent meanwhile is refused or cut off at the end of that time, has used up its
// attempts, and its caller fails. That no stream gets an event is seen within a third of a second, and what comes is held
// back from then on.
type pulse struct {
	// running counts streams that have had an event and have not ended.
	running atomic.Int64
	// last is the Unix nanosecond of the last event of any.
	last atomic.Int64
}

func (p *pulse) beat(now time.Time) { p.last.Store(now.UnixNano()) }

// stalled reports whether streams run and none has got an event for too long.
func (p *pulse) stalled(now time.Time) bool {
	return p.running.Load() > 0 && now.Sub(time.Unix(0, p.last.Load())) > stallsAfter
}

// standstill is a group that stands still, as far as its streams and its ranks' reports tell.
type standstill struct {
	// since is when it was noticed; zero if the group moves.
	since time.Time
	// seen says that a report was read after that; epoch and pass are the latest of it.
	seen        bool
	epoch, pass uint64
}

// over takes in a rank's report and reports whether the group moves again: a pass has begun after the latest one that was
// seen first, or the group has formed anew. Reports that lag show passes that have begun before. A group that became idle
// makes no passes; what depends on a dead rank is cut off after a known time, and after that reports tell the state.
func (s *standstill) over(r lockstep.Report, now time.Time, most time.Duration) bool {
	switch {
	case s.since.IsZero():
		return true
	case now.Sub(s.since) > most:
	case !r.Fresh:
		return false
	case !s.seen:
		s.seen, s.epoch, s.pass = true, r.Epoch, r.Pass
		return false
	case r.Epoch == s.epoch && r.Pass <= s.pass:
		return false
	}
	*s = standstill{}
	return true
}

// stalled closes the group until its ranks make passes again.
func (w *groupWatch) stalled(ctx context.Context, now time.Time) {
	w.mu.Lock()
	if !w.moreThanOne() && w.still.since.IsZero() {
		w.still = standstill{since: now}
	}
	w.mu.Unlock()
	w.doubt(ctx, nil, "no event")
}

// lookForStalls has groups looked at whose streams get no events. It runs on the control loop.
func (g *Gateway) lookForStalls(now time.Time) {
	if g.off(offStalls) {
		return
	}
	for _, s := range g.control.services {
		if s.group != nil && s.pulse.stalled(now) {
			s.group.stalled(g.ctx, now)
		}
	}
}
