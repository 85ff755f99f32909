package lockstep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// lateRelease is a service with one group that becomes idle. It delays the first order to hold the idle group and the
// first order to release it. The hold is executed once the switch is complete. The release is executed while a later
// switch has armed one rank and not the other, and at that moment the group has work again.
type lateRelease struct {
	*testService
	hot           int
	idle          bool
	hold, release *lockstep.Order
	// released is set once the first switch has released the group, undone once the next one has, which undoes it.
	released, undone bool
	armsLost         int
}

// armsToLose is the number of consecutive orders to arm that the second rank of the later switch leaves unanswered.
const armsToLose = 6

// Counts reports that the hot expert is in demand.
func (l *lateRelease) Counts(context.Context, *catalog.Upstream, int) (lockstep.CountStart, lockstep.Counts, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts += 5000
	set := []float64{1, 1, 1, 1}
	set[l.hot] = l.counts
	return lockstep.CountStart{Epoch: 1}, lockstep.Counts{set}, nil
}

// setIdle makes the group idle and moves the demand to another expert, so that the leader switches the idle group.
func (l *lateRelease) setIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle, l.hot = true, 1
}

func (l *lateRelease) Order(ctx context.Context, u *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	if l.loses(o) {
		time.Sleep(orderTimeout)
		return lockstep.ReplyLost, errUnknown
	}
	reply, err := l.testService.Order(ctx, u, o)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case o.Op != lockstep.OpRelease || reply != lockstep.ReplyAccepted:
	case l.release != nil && !l.released:
		l.released = true
		time.AfterFunc(2*time.Second, func() { l.execute(*l.hold) })
	case l.released && o.Pass == l.hold.Pass && o.Rank == l.hold.Rank:
		l.undone = true
	}
	return reply, err
}

func (l *lateRelease) execute(o lockstep.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.groups["a"].order(o)
}

// loses reports whether an order gets no reply. The first lost order to arm of the later switch is the moment at which
// the release is executed and the group has work.
func (l *lateRelease) loses(o lockstep.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups["a"]
	switch {
	case !l.idle:
		return false
	case o.Op == lockstep.OpHold && l.hold == nil:
		l.hold = &o
		return true
	case o.Op == lockstep.OpRelease && l.hold != nil && l.release == nil:
		l.release = &o
		return true
	case o.Op == lockstep.OpArm && l.undone && o.Rank != l.hold.Rank && l.armsLost < armsToLose:
		l.armsLost++
		if l.armsLost == 2 { // the other rank is armed by now
			g.order(*l.release)
			l.idle = false
			g.step()
			g.step()
		}
		return true
	}
	return false
}

// Guards against a pass under two maps. An order to hold an idle group and the order to release it got no reply and
// were sent again. The late hold made the leader undo its switch; the late release then ended the hold of the next
// switch while only one rank was armed.
func TestLateReleaseDoesNotEndHoldOfLaterSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := newTestService([]string{"a"}, 2)
		l := &lateRelease{testService: s}
		cancel := startController(t, l, list, 1)
		for range 3000 / 15 {
			time.Sleep(15 * time.Millisecond)
			s.step()
		}
		l.setIdle()
		time.Sleep(15 * time.Second)
		cancel()
		time.Sleep(2 * orderTimeout) // lets pending calls end
		if !l.undone || l.armsLost < 2 {
			t.Fatalf("first switch undone %t, orders to arm lost after that: %d", l.undone, l.armsLost)
		}
		if g := s.groups["a"]; len(g.mixed) > 0 {
			t.Fatal(g.mixed[0])
		}
	})
}
