package lockstep

import (
	"slices"
	"time"
)

// orderFor returns the order that the current state still requires of a rank.
func (s *Switch) orderFor(r int) (Order, bool) {
	o := Order{Rank: r, Epoch: s.task.Epoch, Version: s.task.Version, Pass: s.pass}
	switch s.machine.State() {
	case statePreparing:
		// If executed late: refused if the rank is armed or has loaded a newer version. Otherwise this version is loaded,
		// which is armed by its own switch only.
		o.Op, o.Placement = OpPrepare, s.task.Placement
		o.Wait = s.task.CopyTime + prepareMargin
		return o, s.acked[r] == 0
	case stateHolding, stateGuarding:
		// If executed late: refused once the pass has begun. In an idle group, the rank's report shows the hold, and the
		// leader releases it.
		o.Op = OpHold
		return o, r == s.task.HoldRank && s.acked[r] == 0
	case stateArming:
		// If executed late: refused once the pass has begun or a newer map is prepared. Until then, either all ranks are
		// armed or the pass is held.
		o.Op, o.Wait = OpArm, armWait
		return o, s.acked[r] == 0
	case stateClearing:
		return s.clearOrder(o)
	case stateReleasing:
		// If executed late: ends a hold of this pass only, which no later switch holds.
		o.Op = OpRelease
		return o, slices.Contains(s.releaseRanks, r) && s.acked[r] == 0
	}
	return Order{}, false
}

// clearOrder disarms a rank that may be armed and then prepares the current map under a newer version. Without the newer
// version, an arm order without a reply could still be executed after the disarm and before the pass, and the rank would
// switch alone.
//
// A late order to disarm does nothing to a later switch, since no other switch arms ranks for this version.
func (s *Switch) clearOrder(o Order) (Order, bool) {
	if version, ok := s.armed[o.Rank]; ok {
		o.Op, o.Version, o.Wait = OpDisarm, version, armWait
		return o, true
	}
	o.Op, o.Version, o.Placement = OpPrepare, s.task.Fallback, s.task.Current
	return o, s.acked[o.Rank] == 0
}

// OnReply processes the reply to an order and returns the orders that follow.
func (s *Switch) OnReply(now time.Time, o Order, reply Reply) []Order {
	if !s.isCurrent(o) {
		return nil
	}
	switch reply {
	case ReplyLost:
		return nil
	case ReplyRefused:
		s.due[o.Rank] = time.Time{}
		s.onRefused(now, o)
	default:
		s.due[o.Rank] = time.Time{}
		s.onAccepted(o)
	}
	return s.Tick(now)
}

// isCurrent reports whether the current state still requires the order of its rank.
func (s *Switch) isCurrent(o Order) bool {
	if s.Finished() {
		return false
	}
	expected, ok := s.orderFor(o.Rank)
	return ok && expected.Op == o.Op && expected.Pass == o.Pass && expected.Version == o.Version
}

func (s *Switch) onAccepted(o Order) {
	if o.Op == OpDisarm {
		delete(s.armed, o.Rank)
		return
	}
	s.acked[o.Rank]++
	switch s.machine.State() {
	case stateHolding, stateGuarding:
		s.fire(evHeld)
	case stateArming:
		if s.allAcked() {
			s.switched = true
			s.fire(evAllArmed)
		}
	case stateClearing:
		if s.allAcked() {
			s.fire(evAllCleared)
		}
	case stateReleasing:
		s.checkReleased()
	}
}

// allAcked reports whether every rank has acknowledged the order of the current state.
func (s *Switch) allAcked() bool {
	for r := range s.task.Ranks {
		if s.acked[r] == 0 {
			return false
		}
	}
	return true
}

func (s *Switch) checkReleased() {
	for _, r := range s.releaseRanks {
		if s.acked[r] == 0 {
			return
		}
	}
	s.fire(evReleased)
}

func (s *Switch) onRefused(now time.Time, o Order) {
	switch s.machine.State() {
	case statePreparing, stateGuarding:
		s.fire(evRefused)
	case stateHolding:
		s.holdsRefused++
		if s.holdsRefused >= maxHolds || !s.choosePass(max(s.pass, s.latestPass)+s.holdLead()) {
			s.fire(evLate)
		}
	case stateArming:
		for r := range s.task.Ranks {
			s.armed[r] = s.task.Version
		}
		s.fire(evRefused)
	case stateClearing:
		s.onClearRefused(now, o)
	case stateReleasing:
		// The rank no longer holds this pass.
		s.acked[o.Rank]++
		s.checkReleased()
	}
}

// onClearRefused handles a refusal while ranks are being cleared. A rank that is not armed for the version refuses to
// disarm, which is the desired state. A rank that refuses the newer version is armed, and its report shows for what.
func (s *Switch) onClearRefused(now time.Time, o Order) {
	if o.Op == OpDisarm {
		delete(s.armed, o.Rank)
		return
	}
	s.refusals[o.Rank]++
	s.due[o.Rank] = now.Add(resendAfter)
	s.reportsDue = true
	if s.refusals[o.Rank] >= maxClears {
		s.fire(evLate)
	}
}
