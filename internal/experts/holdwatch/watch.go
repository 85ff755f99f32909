package holdwatch

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

const (
	// TickInterval is the interval of Tick while a hold is watched.
	TickInterval = 10 * time.Millisecond
	// maxTickGap is the time between two ticks above which this process counts as paused. Messages that arrived
	// meanwhile may not have been read yet, so the pause does not count as silence.
	maxTickGap = 3 * TickInterval
	// maxSilence is the silence after which a hold is no longer watched: the timeouts of digests have replaced the
	// leader by then.
	maxSilence = 2 * time.Second
)

// Notice is a leader's message about its holds.
type Notice struct {
	// Fence is the token of the leader.
	Fence ids.Fence
	// Sequence orders the messages of the leader.
	Sequence uint64
	// Outstanding is set while the leader holds a group.
	Outstanding bool
}

// Input is what a standby knows when it decides.
type Input struct {
	// Ready is set if this node may lead.
	Ready bool
	// Spare is the token that it would lead under, Newest the newest token under which it or a peer has led.
	Spare, Newest ids.Fence
	// LowerSpares counts the peers whose spare tokens are lower and can be used. They go first: in the reverse order
	// their tokens would be too old.
	LowerSpares int
	// Others is set if there are peers besides the leader; OtherHeardAt is when one of them was last heard.
	Others       bool
	OtherHeardAt time.Time
	// Interval is the interval of notices. Silence is how late the next notice must be before the first standby takes
	// over; each further one waits as long again.
	Interval, Silence time.Duration
}

// Watch follows the holds of the leader. The zero value watches nothing. It is not safe for concurrent use.
type Watch struct {
	last Notice
	// heardAt is when the last notice was received, later by the pauses of this process since.
	heardAt time.Time
	// tickedAt is when Tick was last called, zero after a notice that began a hold.
	tickedAt time.Time
}

// Outstanding reports whether a hold is watched, so that Tick must be called.
func (w *Watch) Outstanding() bool { return w.last.Outstanding }

// Fence returns the token of the leader whose hold is watched, or was last.
func (w *Watch) Fence() ids.Fence { return w.last.Fence }

// SilentFor returns the time since the last notice, without pauses of this process.
func (w *Watch) SilentFor(now time.Time) time.Duration { return now.Sub(w.heardAt) }

// Hear records a notice. One that is older than the last, or of an earlier leader, changes nothing.
func (w *Watch) Hear(now time.Time, n Notice) {
	if n.Fence < w.last.Fence || n.Fence == w.last.Fence && n.Sequence <= w.last.Sequence {
		return
	}
	if !w.last.Outstanding {
		w.tickedAt = time.Time{}
	}
	w.last, w.heardAt = n, now
}

// Tick reports whether this node is to take over now. It reports so once for a hold.
func (w *Watch) Tick(now time.Time, in Input) bool {
	if !w.last.Outstanding {
		return false
	}
	w.excludePause(now)
	silent := now.Sub(w.heardAt)
	switch {
	case in.Newest > w.last.Fence || silent > maxSilence:
		w.last.Outstanding = false // a later leader exists, or the usual timeouts apply
		return false
	case !in.Ready || in.Spare <= w.last.Fence || in.Spare <= in.Newest:
		return false
	case silent < (in.Interval+in.Silence)*time.Duration(1+in.LowerSpares):
		return false
	case in.Others && in.OtherHeardAt.Before(w.heardAt.Add(in.Interval)):
		return false // nothing arrives from anyone, so the fault may be this node's
	}
	w.last.Outstanding = false
	return true
}

// excludePause counts a pause of this process since the last tick as heard.
func (w *Watch) excludePause(now time.Time) {
	last := w.tickedAt
	if last.IsZero() || last.Before(w.heardAt) {
		last = w.heardAt
	}
	w.tickedAt = now
	if gap := now.Sub(last); gap > maxTickGap {
		w.heardAt = w.heardAt.Add(gap - TickInterval)
	}
}
