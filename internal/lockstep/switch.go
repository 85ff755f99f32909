package lockstep

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/charts"
)

var chart = charts.MustLoad("map_orders")

const (
	stateHolding   charts.State = "holding"
	stateArming    charts.State = "arming"
	stateClearing  charts.State = "clearing"
	stateReleasing charts.State = "releasing"
	statePreparing charts.State = "preparing"
	stateDone      charts.State = "done"

	evAllPrepared  charts.Event = "all_prepared"
	evRefused      charts.Event = "refused"
	evLate         charts.Event = "late"
	evHeld         charts.Event = "held"
	evAllArmed     charts.Event = "all_armed"
	evAllCleared   charts.Event = "all_cleared"
	evReleased     charts.Event = "released"
	evEpochChanged charts.Event = "epoch_changed"
)

const (
	// resendAfter is the pause before an order is sent again that got no answer.
	resendAfter = 30 * time.Millisecond
	// maxHolds is how many passes are tried to be held; each begins before the order arrives only if the group is faster
	// than it was reported to be.
	maxHolds = 6
	// holdLead is how many passes after the last one known the switch is to be.
	holdLead = 2
)

// Task is what a Switch is to do.
type Task struct {
	Epoch uint64
	Ranks int
	// Version names the new map, and Fallback the present one if the switch is undone. No two tasks of any node may share
	// one: a rank would take one map for the other.
	Version, Fallback uint64
	Placement         Placement
	// Present is the placement in use, to go back to.
	Present Placement
	// HoldAt is the rank that holds the group.
	HoldAt int
	// PrepareBy is when a switch whose experts are not loaded is given up.
	PrepareBy time.Time
}

// Switch moves a group to a new map. It is pure and not safe for concurrent use.
//
// What it rests on: a group begins no pass that one of its ranks holds. The ranks are armed only while the pass is
// held, and it is released only when all of them are armed for it, or when none is and none can be. An order that got
// no answer is sent until it gets one; what it may still do when it is carried out late is listed at each state.
type Switch struct {
	task    Task
	machine charts.Machine
	// acked are the ranks that acknowledged the present state's order, and step counts the orders of clearing.
	acked map[int]int
	// due is when an order that got no answer is sent again, by rank.
	due map[int]time.Time
	// sent are the ranks whose order is under way.
	sent     map[int]bool
	pass     uint64
	holds    int
	prepared map[int]bool
	known    uint64
	switched bool
}

// NewSwitch returns a switch that has not begun.
func NewSwitch(t Task) *Switch {
	return &Switch{task: t, machine: chart.Start(), prepared: map[int]bool{}}
}

// State returns the state in the chart.
func (s *Switch) State() charts.State { return s.machine.State() }

// Ended reports whether nothing is left to do.
func (s *Switch) Ended() bool { return s.machine.Final() }

// Switched reports whether all ranks were armed, so that the new map is in force from Pass on.
func (s *Switch) Switched() bool { return s.switched }

// Pass is the pass of the switch; 0 before it is chosen.
func (s *Switch) Pass() uint64 { return s.pass }

// Start begins the switch.
func (s *Switch) Start(now time.Time) []Order {
	s.enter()
	return s.Tick(now)
}

// Finish begins a switch that another node began: all ranks have prepared the map, and the pass is held. Arming them
// again is harmless, whoever else does so.
func (s *Switch) Finish(now time.Time, pass uint64) []Order {
	s.fire(evAllPrepared)
	s.pass = pass
	s.fire(evHeld)
	return s.Tick(now)
}

// Clear begins to undo a switch that another node began and that cannot be finished.
func (s *Switch) Clear(now time.Time, pass uint64) []Order {
	s.fire(evAllPrepared)
	s.pass = pass
	s.fire(evLate)
	return s.Tick(now)
}

// enter resets what belongs to one state.
func (s *Switch) enter() {
	s.acked = map[int]int{}
	s.due = map[int]time.Time{}
	s.sent = map[int]bool{}
}

func (s *Switch) fire(ev charts.Event) {
	before := s.machine.State()
	// The chart declares each of these events, so Fire cannot fail.
	_, _ = s.machine.Fire(ev)
	if s.machine.State() == before {
		return
	}
	s.enter()
	if s.machine.State() == stateHolding {
		s.pass = s.known + holdLead
	}
}

// Tick returns the orders that are due.
func (s *Switch) Tick(now time.Time) []Order {
	if s.machine.State() == statePreparing && now.After(s.task.PrepareBy) {
		s.fire(evLate)
	}
	var out []Order
	for r := range s.task.Ranks {
		if s.sent[r] || now.Before(s.due[r]) {
			continue
		}
		if o, ok := s.orderFor(r); ok {
			s.sent[r] = true
			out = append(out, o)
		}
	}
	return out
}

// orderFor returns what the present state still wants of a rank.
func (s *Switch) orderFor(r int) (Order, bool) {
	o := Order{Rank: r, Epoch: s.task.Epoch, Version: s.task.Version, Pass: s.pass}
	switch s.machine.State() {
	case statePreparing:
		// Late: an older version is refused; nothing is armed by it.
		o.Op, o.Placement = OpPrepare, s.task.Placement
		return o, s.acked[r] == 0
	case stateHolding:
		// Late: refused once the pass has begun. If it has not, the hold stands in the rank's report and is released by
		// whoever leads next.
		o.Op = OpHold
		return o, r == s.task.HoldAt && s.acked[r] == 0
	case stateArming:
		// Late: refused once the pass has begun, or a newer map is prepared.
		o.Op = OpArm
		return o, s.acked[r] == 0
	case stateClearing:
		return s.clearOrder(o)
	case stateReleasing:
		// Late: releases this pass only, which has begun by then.
		o.Op = OpRelease
		return o, r == s.task.HoldAt && s.acked[r] == 0
	}
	return Order{}, false
}

// clearOrder disarms a rank, and then prepares the present map under a newer version. Without the second, an arm order
// that got no answer could still be carried out after the disarm, before the pass, and the rank would switch alone.
func (s *Switch) clearOrder(o Order) (Order, bool) {
	switch s.acked[o.Rank] {
	case 0:
		o.Op = OpDisarm
		return o, true
	case 1:
		o.Op, o.Version, o.Placement = OpPrepare, s.task.Fallback, s.task.Present
		return o, true
	}
	return Order{}, false
}

// OnReply takes in the answer to an order and returns the orders that follow.
func (s *Switch) OnReply(now time.Time, o Order, reply Reply) []Order {
	if !s.current(o) {
		return nil
	}
	s.sent[o.Rank] = false
	switch {
	case reply == ReplyLost:
		s.due[o.Rank] = now.Add(resendAfter)
		return nil
	case reply == ReplyRefused:
		s.refused(now, o)
	default:
		s.acked[o.Rank]++
		s.accepted()
	}
	return s.Tick(now)
}

// current reports whether an order is what the present state sent.
func (s *Switch) current(o Order) bool {
	if !s.sent[o.Rank] || s.Ended() {
		return false
	}
	want, ok := s.orderFor(o.Rank)
	return ok && want.Op == o.Op && want.Pass == o.Pass && want.Version == o.Version
}

func (s *Switch) accepted() {
	switch s.machine.State() {
	case stateHolding:
		s.fire(evHeld)
	case stateArming:
		if len(s.acked) == s.task.Ranks {
			s.switched = true
			s.fire(evAllArmed)
		}
	case stateClearing:
		s.checkCleared()
	case stateReleasing:
		s.fire(evReleased)
	}
}

func (s *Switch) checkCleared() {
	for r := range s.task.Ranks {
		if s.acked[r] < 2 {
			return
		}
	}
	s.fire(evAllCleared)
}

func (s *Switch) refused(now time.Time, o Order) {
	switch s.machine.State() {
	case statePreparing, stateArming:
		s.fire(evRefused)
	case stateHolding:
		s.holds++
		if s.holds >= maxHolds {
			s.fire(evLate)
			return
		}
		s.pass = max(s.pass, s.known) + holdLead
	case stateClearing:
		// A rank that is not armed for this version refuses to disarm: that is what is wanted. One that refuses the newer
		// version has a newer one still.
		s.acked[o.Rank]++
		s.checkCleared()
	case stateReleasing:
		// Nothing is held for this pass any more.
		s.fire(evReleased)
	}
}

// OnReport takes in a rank's report and returns the orders that follow.
func (s *Switch) OnReport(now time.Time, r Report) []Order {
	if r.Epoch != s.task.Epoch {
		s.fire(evEpochChanged)
		return nil
	}
	s.known = max(s.known, r.Pass)
	if s.machine.State() == statePreparing && r.Prepared == s.task.Version {
		s.prepared[r.Rank] = true
		if len(s.prepared) == s.task.Ranks {
			s.fire(evAllPrepared)
		}
	}
	return s.Tick(now)
}
