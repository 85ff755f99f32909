package lockstep

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
)

var chart = charts.MustLoad("map_orders")

const (
	statePreparing charts.State = "preparing"
	stateHolding   charts.State = "holding"
	stateArming    charts.State = "arming"
	stateGuarding  charts.State = "guarding"
	stateClearing  charts.State = "clearing"
	stateReleasing charts.State = "releasing"

	evBegin        charts.Event = "begin"
	evRescue       charts.Event = "rescue"
	evUnneeded     charts.Event = "unneeded"
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
	// resendAfter is how long an answer is waited for before the order is sent once more; the first may still be answered.
	// An answer takes some ms, and while ranks are armed the group may stand still, which every caller sees.
	resendAfter = 15 * time.Millisecond
	// responseFactor is how many times as long as those of half of the ranks the answers of all may take, and maxFirst the most
	// that is waited for the first of each.
	responseFactor = 3
	maxFirst       = 100 * time.Millisecond
	// armWait is for how long agents try to have their ranks armed or disarmed: some tries, while the group may stand still.
	armWait = 60 * time.Millisecond
	// prepareResend is the same for the order that carries a whole map, and that nothing waits for.
	prepareResend = 100 * time.Millisecond
	// prepareMargin is added to the time that copies take, as passes meanwhile take longer.
	prepareMargin = 50 * time.Millisecond
	// maxHolds is how many passes are tried to be held; each begins before the order arrives only if the group is faster
	// than it was reported to be.
	maxHolds = 6
	// maxClears is how often one rank may refuse the newer version of the present map; it does as long as another leader
	// has it armed.
	maxClears = 20
	// holdLead is how many passes after the last one known the switch is to be.
	holdLead = 2
)

// Task is what a Switch is to do.
type Task struct {
	Epoch uint64
	Ranks int
	// StartTimes are the ranks' starts, by rank. A rank in another life holds nothing that it acknowledged.
	StartTimes []int64
	// Version names the new map, and Fallback the present one if the switch is undone. No two tasks of any node may share
	// one: a rank would take one map for the other.
	Version, Fallback uint64
	Placement         Placement
	// Current is the placement in use, to go back to.
	Current Placement
	// HoldRank is the rank that holds the group.
	HoldRank int
	// PrepareBy is when a switch whose experts are not loaded is given up.
	PrepareBy time.Time
	// CopyTime is how long the rank with most to load takes.
	CopyTime time.Duration
	// ResponseTime is how long it takes until half of the ranks have answered when all are asked at once.
	ResponseTime time.Duration
}

// Switch moves a group to a new map. It is pure and not safe for concurrent use.
//
// What it rests on: a group begins no pass that one of its ranks holds. The ranks are armed only while the pass is
// held, and it is released only when all of them are armed for it, or when none is and none can be. An order that got
// no answer is sent until it gets one; what it may still do when it is carried out late is listed at each state. Two
// leaders at once are safe: one that undoes another's switch holds the pass at a rank of its own first, and gives every
// rank a newer version, after which the other's orders are refused.
type Switch struct {
	task    Task
	machine charts.Machine
	// acked counts the orders of the present state that a rank has acknowledged; refusals those that it refused.
	acked, refusals map[int]int
	// due is when an order is sent, or sent again, by rank.
	due map[int]time.Time
	// releaseRanks are the ranks to be told to let the pass begin.
	releaseRanks []int
	pass         uint64
	holdsRefused int
	// holdsSent counts the orders to hold a pass.
	holdsSent  int
	latestPass uint64
	switched   bool
}

// NewSwitch returns a switch that has not begun.
func NewSwitch(t Task) *Switch {
	return &Switch{task: t, machine: chart.Start(), releaseRanks: []int{t.HoldRank}}
}

// State returns the state in the chart.
func (s *Switch) State() charts.State { return s.machine.State() }

// Finished reports whether nothing is left to do.
func (s *Switch) Finished() bool { return s.machine.Final() }

// Switched reports whether all ranks were armed, so that the new map is in force from Pass on.
func (s *Switch) Switched() bool { return s.switched }

// Pass is the pass of the switch; 0 before it is chosen.
func (s *Switch) Pass() uint64 { return s.pass }

// HoldResent reports whether the order to hold the group was given more than once.
func (s *Switch) HoldResent() bool { return s.holdsSent > 1+s.holdsRefused }

// Start begins the switch.
func (s *Switch) Start(now time.Time) []Order {
	s.fire(evBegin)
	return s.Tick(now)
}

// Undo begins to undo a switch that another leader left. The task must be the one that left.Task returned, and nothing
// may be pending: disarming ranks for a pass that is not held would mix maps.
//
// A hold that is carried out late stops a group whose switch is complete, with nothing to disarm. A rank is armed for one
// pass at a time, so that releasing the held one is safe.
func (s *Switch) Undo(now time.Time, unfinished *UnfinishedSwitch) []Order {
	s.pass = unfinished.Pass
	if unfinished.Ahead {
		s.releaseRanks = unfinished.Holders
		s.fire(evUnneeded)
		return s.Tick(now)
	}
	s.releaseRanks = append(s.releaseRanks, unfinished.Holders...)
	s.fire(evRescue)
	return s.Tick(now)
}

func (s *Switch) fire(ev charts.Event) {
	before := s.machine.State()
	// The chart declares each of these events, so Fire cannot fail.
	_, _ = s.machine.Fire(ev)
	if s.machine.State() == before {
		return
	}
	s.acked = map[int]int{}
	s.refusals = map[int]int{}
	s.due = map[int]time.Time{}
	if s.machine.State() == stateHolding {
		s.pass = s.latestPass + holdLead
	}
}

// Tick returns the orders that are due.
func (s *Switch) Tick(now time.Time) []Order {
	if s.machine.State() == statePreparing && now.After(s.task.PrepareBy) {
		s.fire(evLate)
	}
	var out []Order
	for r := range s.task.Ranks {
		if now.Before(s.due[r]) {
			continue
		}
		if o, ok := s.orderFor(r); ok {
			s.due[r] = now.Add(s.resendInterval(o))
			out = append(out, o)
			if o.Op == OpHold {
				s.holdsSent++
			}
		}
	}
	return out
}

// resendInterval is how long an answer is waited for. The first order to all ranks of a large group is not lost because the answers
// take longer than those of a small one: all sent again would take the time of those that are under way.
func (s *Switch) resendInterval(o Order) time.Duration {
	switch {
	case o.Op == OpPrepare:
		return prepareResend + o.Wait
	case o.Op == OpArm && s.due[o.Rank].IsZero():
		return max(resendAfter, min(responseFactor*s.task.ResponseTime, maxFirst))
	}
	return resendAfter
}

// orderFor returns what the present state still wants of a rank.
func (s *Switch) orderFor(r int) (Order, bool) {
	o := Order{Rank: r, Epoch: s.task.Epoch, Version: s.task.Version, Pass: s.pass}
	switch s.machine.State() {
	case statePreparing:
		// Late: an older version is refused; nothing is armed by it.
		o.Op, o.Placement = OpPrepare, s.task.Placement
		o.Wait = s.task.CopyTime + prepareMargin
		return o, s.acked[r] == 0
	case stateHolding, stateGuarding:
		// Late: refused once the pass has begun. If it has not, the hold stands in the rank's report and is released by
		// whoever leads next.
		o.Op = OpHold
		return o, r == s.task.HoldRank && s.acked[r] == 0
	case stateArming:
		// Late: refused once the pass has begun, or a newer map is prepared.
		o.Op, o.Wait = OpArm, armWait
		return o, s.acked[r] == 0
	case stateClearing:
		return s.clearOrder(o)
	case stateReleasing:
		// Late: releases this pass only, which has begun by then.
		o.Op = OpRelease
		return o, slices.Contains(s.releaseRanks, r) && s.acked[r] == 0
	}
	return Order{}, false
}

// clearOrder disarms a rank, and then prepares the present map under a newer version. Without the second, an arm order
// that got no answer could still be carried out after the disarm, before the pass, and the rank would switch alone.
func (s *Switch) clearOrder(o Order) (Order, bool) {
	switch s.acked[o.Rank] {
	case 0:
		o.Op, o.Wait = OpDisarm, armWait
		return o, true
	case 1:
		o.Op, o.Version, o.Placement = OpPrepare, s.task.Fallback, s.task.Current
		return o, true
	}
	return Order{}, false
}

// OnReply takes in the answer to an order and returns the orders that follow.
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
		s.acked[o.Rank]++
		s.onAccepted()
	}
	return s.Tick(now)
}

// restarted reports whether a rank has started again since the switch began.
//
// A rank that starts again after it has acknowledged may be in a group of the same epoch. Its acknowledgement must not count,
// or the group is released with one rank that has nothing to switch to.
func (s *Switch) restarted(rank int, r *Report) bool {
	return rank < len(s.task.StartTimes) && r.StartedAtMS != s.task.StartTimes[rank]
}

// isCurrent reports whether an order is what the present state still wants of its rank.
func (s *Switch) isCurrent(o Order) bool {
	if s.Finished() {
		return false
	}
	want, ok := s.orderFor(o.Rank)
	return ok && want.Op == o.Op && want.Pass == o.Pass && want.Version == o.Version
}

func (s *Switch) onAccepted() {
	switch s.machine.State() {
	case stateHolding, stateGuarding:
		s.fire(evHeld)
	case stateArming:
		if s.allAcked(1) {
			s.switched = true
			s.fire(evAllArmed)
		}
	case stateClearing:
		if s.allAcked(2) {
			s.fire(evAllCleared)
		}
	case stateReleasing:
		s.checkReleased()
	}
}

// allAcked reports whether every rank has acknowledged that many orders.
func (s *Switch) allAcked(orders int) bool {
	for r := range s.task.Ranks {
		if s.acked[r] < orders {
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
	case statePreparing, stateArming, stateGuarding:
		s.fire(evRefused)
	case stateHolding:
		s.holdsRefused++
		if s.holdsRefused >= maxHolds {
			s.fire(evLate)
			return
		}
		s.pass = max(s.pass, s.latestPass) + holdLead
	case stateClearing:
		s.onClearRefused(now, o)
	case stateReleasing:
		// Nothing is held for this pass there any more.
		s.acked[o.Rank]++
		s.checkReleased()
	}
}

// onClearRefused: a rank that is not armed for the version refuses to disarm, which is what is wanted. One that refuses
// the newer version is armed for another leader's; that one ends within milliseconds, or is undone in its turn.
func (s *Switch) onClearRefused(now time.Time, o Order) {
	if o.Op == OpDisarm {
		s.acked[o.Rank]++
		return
	}
	s.refusals[o.Rank]++
	s.due[o.Rank] = now.Add(resendAfter)
	if s.refusals[o.Rank] >= maxClears {
		s.fire(evLate)
	}
}

// OnReports takes in what the ranks said when they were all asked at once, by rank; nil stands for no answer. It returns
// the orders that follow.
//
// If a rank's host freezes in between, nobody knows whether it is armed, and the group stays held until it wakes. So the
// group is held only right after a round in which every rank answered.
func (s *Switch) OnReports(now time.Time, reports []*Report) []Order {
	prepared := 0
	for rank, r := range reports {
		if r == nil {
			continue
		}
		if r.Epoch != s.task.Epoch || s.restarted(rank, r) {
			s.fire(evEpochChanged)
			return nil
		}
		s.latestPass = max(s.latestPass, r.Pass)
		if r.Prepared == s.task.Version {
			prepared++
		}
	}
	if s.machine.State() == statePreparing && prepared == s.task.Ranks {
		s.fire(evAllPrepared)
	}
	return s.Tick(now)
}
