package lockstep

import (
	"cmp"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
)

var chart = charts.MustLoad("map_orders")

// States and events of the chart map_orders, which explains them. In stateGuarding a second rank is to hold the pass of
// another leader's unfinished switch (evRescue starts its undo); in stateClearing the ranks are disarmed. evUnneeded
// reports that the held pass needs only a release, because the unfinished switch is complete.
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
	// resendAfter is how long to wait for a reply before an order is sent again; the first copy may still be
	// executed. A reply takes some ms. While ranks are armed the group may be paused, which all its callers notice.
	resendAfter = 15 * time.Millisecond
	// responseFactor times the median response time, but at most maxFirstWait, is the wait before OpArm is first sent
	// again, since the last ranks of a large group respond later than half of them.
	responseFactor = 3
	maxFirstWait   = 100 * time.Millisecond
	// armWait is how long agents repeat an order to arm or disarm their rank: long enough for some attempts, during
	// which the group may be paused.
	armWait = 60 * time.Millisecond
	// prepareResend is the resend delay of the order that carries a complete map; nothing waits for its reply.
	prepareResend = 100 * time.Millisecond
	// prepareMargin is added to the time that copies take, since passes take longer meanwhile.
	prepareMargin = 50 * time.Millisecond
	// maxHolds is the maximum number of passes that a switch tries to hold. An attempt fails if the pass begins
	// before the order arrives, which happens only if the group is faster than reported.
	maxHolds = 6
	// maxClears is how often one rank may refuse the newer version of the current map, which it does while it is armed.
	maxClears = 20
	// defaultHoldLead is how many passes after the latest reported one the switch is to take effect, unless the task
	// says otherwise.
	defaultHoldLead = 2
)

// Task describes the switch that a Switch carries out.
type Task struct {
	Epoch uint64
	Ranks int
	// StartTimes are the ranks' start times, by rank. A rank that has restarted holds nothing that it acknowledged
	// before.
	StartTimes []int64
	// Version is the version of the new map, Fallback that of the current map if the switch is undone. No two tasks
	// of any node may share a version: a rank would mistake one map for the other.
	Version, Fallback uint64
	Placement         Placement
	// Current is the placement in use, which an undone switch returns to.
	Current Placement
	// HoldRank is the rank that holds the group.
	HoldRank int
	// PrepareBy is the deadline by which the experts must be loaded; the switch is aborted otherwise.
	PrepareBy time.Time
	// CopyTime is the load time of the rank that has the most experts to load.
	CopyTime time.Duration
	// ResponseTime is the median response time of the ranks when all are called concurrently.
	ResponseTime time.Duration
	// HoldLead is how many passes after the latest reported one the switch is to take effect; 0 for the default.
	HoldLead uint64
	// LagPasses is by how many passes reports that are not fresh are behind.
	LagPasses uint64
	// Passes chooses the pass; all switches of one leader in the epoch share it.
	Passes *HeldPasses
	// LoadOnly is set if the switch ends once all ranks have loaded the map.
	LoadOnly bool
}

// Switch moves a group to a new map. It is pure and not safe for concurrent use.
//
// Its safety depends on the rule that a group begins no pass that one of its ranks holds. The ranks are armed only
// while the pass is held. It is released only when all of them are armed for it, or when none is and none can be. An
// order without a reply is sent again until one arrives; orderFor lists for each state what a copy that is executed
// late can still do. Each switch holds a pass that no other one holds, see HeldPasses. Two leaders at the same time are
// safe: a leader that undoes another's switch first holds the pass at a rank of its own, and gives every rank a newer
// version, after which the ranks refuse the other's orders.
type Switch struct {
	task    Task
	machine charts.Machine
	// acked counts, by rank, the orders of the current state that the rank has acknowledged; refusals those that it
	// has refused.
	acked, refusals map[int]int
	// due is when an order is to be sent, or sent again, by rank.
	due map[int]time.Time
	// releaseRanks are the ranks that get the order to release the pass.
	releaseRanks []int
	pass         uint64
	holdsRefused int
	// holdsSent counts the orders to hold a pass.
	holdsSent int
	// armed are the versions, by rank, that ranks may be armed for at the pass and that are to be disarmed.
	armed map[int]uint64
	// reportsDue is set if the next step depends on a rank's state.
	reportsDue bool
	// begunPass is the last pass that has begun by the reports, latestPass the one that is expected to have begun by
	// now.
	begunPass, latestPass uint64
	switched              bool
}

// NewSwitch returns a switch that has not started.
func NewSwitch(t Task) *Switch {
	return &Switch{task: t, machine: chart.Start(), releaseRanks: []int{t.HoldRank}, armed: map[int]uint64{}}
}

// State returns the current state in the chart map_orders.
func (s *Switch) State() charts.State { return s.machine.State() }

// Finished reports whether the switch is done or has failed.
func (s *Switch) Finished() bool { return s.machine.Final() }

// Switched reports whether all ranks were armed, so that the new map is in force from Pass on.
func (s *Switch) Switched() bool { return s.switched }

// Pass returns the pass of the switch; 0 before it is chosen.
func (s *Switch) Pass() uint64 { return s.pass }

// HoldResent reports whether the order to hold the group was sent more than once for a pass.
func (s *Switch) HoldResent() bool { return s.holdsSent > 1+s.holdsRefused }

// Holds reports whether the group is held, or an order to hold it may have been executed.
func (s *Switch) Holds() bool {
	switch s.machine.State() {
	case stateHolding, stateGuarding, stateArming, stateClearing, stateReleasing:
		return true
	}
	return false
}

func (s *Switch) holdLead() uint64 { return cmp.Or(s.task.HoldLead, defaultHoldLead) }

// Start starts the switch and returns the first orders.
func (s *Switch) Start(now time.Time) []Order {
	s.fire(evBegin)
	return s.Tick(now)
}

// Undo starts to undo a switch that another leader has left unfinished. The task must be the one that unfinished.Task
// returned, and nothing may be pending unless unfinished.Superseded is set.
//
// If unfinished.Superseded is set, there is nothing to disarm, and releasing the held pass is safe.
func (s *Switch) Undo(now time.Time, unfinished *UnfinishedSwitch) []Order {
	s.pass = unfinished.Pass
	s.armed = unfinished.Armed
	if unfinished.Superseded {
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
}

// choosePass chooses the pass to hold, which is the given one if possible. It returns false if there is none.
func (s *Switch) choosePass(wanted uint64) bool {
	pass, ok := s.task.Passes.Choose(s.begunPass, wanted)
	if ok {
		s.pass = pass
	}
	return ok
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

// resendInterval returns how long to wait for the reply to an order. The first arm order to all ranks of a large
// group waits longer: the replies take longer than those of a small group, and sending all orders again would delay
// the ones in progress.
func (s *Switch) resendInterval(o Order) time.Duration {
	switch {
	case o.Op == OpPrepare:
		return prepareResend + o.Wait
	case o.Op == OpArm && s.due[o.Rank].IsZero():
		return max(resendAfter, min(responseFactor*s.task.ResponseTime, maxFirstWait))
	}
	return resendAfter
}
