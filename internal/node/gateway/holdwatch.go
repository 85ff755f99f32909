package gateway

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/holdwatch"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// holdWatch follows the holds of another leader. All but tookOver belongs to the control loop.
type holdWatch struct {
	holdwatch.Watch
	// ticking is set while the next call of tickHold is scheduled.
	ticking bool
	// tookOver is the token under which this gateway last took over a held group; the controllers read it.
	tookOver atomic.Uint64
}

// forwardHold passes what a datagram says about holds to the control loop. A digest of a leader that mentions none says
// that there is none. One that mentions a hold is no sign of life of the switch: another goroutine has sent it.
func (g *Gateway) forwardHold(d *cardamomyokev1.Digest, now time.Time) {
	n := holdwatch.Notice{Sequence: d.GetSequence()}
	switch {
	case !g.watchesHolds():
		return
	case d.GetHold() != nil && d.GetProbe() != nil:
		n.Fence, n.Outstanding = ids.Fence(d.GetHold().GetFence()), d.GetHold().GetOutstanding()
	case d.GetHold() == nil && d.GetProbe() == nil && d.GetExpertsFence() > 0:
		n.Fence = ids.Fence(d.GetExpertsFence())
	default:
		return
	}
	g.loop.Post(func(time.Time) {
		g.experts.watch.Hear(now, n)
		g.experts.scheduleHoldTick()
	})
}

// scheduleHoldTick schedules the next tickHold while a hold is watched.
func (e *experts) scheduleHoldTick() {
	if e.watch.ticking || !e.watch.Outstanding() {
		return
	}
	e.watch.ticking = true
	time.AfterFunc(holdwatch.TickInterval, func() { e.g.loop.Post(e.tickHold) })
}

// tickHold takes over if the leader has gone silent while it held a group.
func (e *experts) tickHold(now time.Time) {
	e.watch.ticking = false
	if !e.g.watchesHolds() {
		e.watch.Watch = holdwatch.Watch{}
		return
	}
	silent := e.watch.SilentFor(now)
	in := e.holdInput(now)
	if e.watch.Tick(now, in) {
		e.takeOverHold(now, silent, in)
	}
	e.scheduleHoldTick()
}

func (e *experts) takeOverHold(now time.Time, silent time.Duration, in holdwatch.Input) {
	_ = level.Warn(e.g.logger).Log("msg", "taking over from a silent leader that holds a group", "duty", expertsDuty, "number", in.Spare,
		"before", e.watch.Fence(), "silent", silent, "lower_spares", in.LowerSpares, "other_heard", now.Sub(in.OtherHeardAt))
	e.watch.tookOver.Store(uint64(in.Spare))
	e.election.takeOver(e.leases.NewestFenceOfOthers(expertsDuty))
	e.election.ignoreLeasesUntil = now.Add(leaseLength)
	e.tick(now)
	e.g.peers.sendToAll(now)
}

// holdInput collects what the decision to take over depends on. The silent leader does not count as a peer.
func (e *experts) holdInput(now time.Time) holdwatch.Input {
	in := holdwatch.Input{
		Ready:    e.g.control.ownState == stateReady && !e.joiningOrIsolated(now) && e.anyGroup(),
		Spare:    e.election.spare,
		Newest:   max(e.election.newestPeerFence, e.election.fence),
		Interval: lockstep.HoldNoticeInterval, Silence: time.Duration(e.g.Settings().Bounds.HoldWatch),
	}
	for _, p := range e.g.peers.live(now) {
		fence, spare := ids.Fence(p.digest.GetExpertsFence()), ids.Fence(p.digest.GetExpertsSpare())
		if fence == e.watch.Fence() {
			continue
		}
		in.Newest = max(in.Newest, fence)
		in.Others = true
		if p.lastSeen.After(in.OtherHeardAt) {
			in.OtherHeardAt = p.lastSeen
		}
		if spare > e.watch.Fence() && spare < in.Spare {
			in.LowerSpares++
		}
	}
	return in
}
