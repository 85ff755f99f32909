package lockstep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// lateReportDelay is just below the timeout for a rank's report.
	lateReportDelay = 140 * time.Millisecond
	// orderTimeout is the timeout of an order without a reply.
	orderTimeout = 150 * time.Millisecond
)

// faultyRanks is a service where one rank reports late and another loses its first orders to arm.
type faultyRanks struct {
	*testService
	late, losing ids.Upstream
	toLose       int
}

func (u *faultyRanks) Report(ctx context.Context, up *catalog.Upstream) (lockstep.Report, error) {
	if up.ID == u.late {
		time.Sleep(lateReportDelay)
	}
	return u.testService.Report(ctx, up)
}

func (u *faultyRanks) Order(ctx context.Context, up *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	u.mu.Lock()
	lost := o.Op == lockstep.OpArm && up.ID == u.losing && u.toLose > 0
	if lost {
		u.toLose--
	}
	u.mu.Unlock()
	if lost {
		time.Sleep(orderTimeout)
		return lockstep.ReplyLost, errUnknown
	}
	return u.testService.Order(ctx, up, o)
}

// heldGroups returns the number of groups that are held now, which the test adds up once per millisecond.
func (u *faultyRanks) heldGroups() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, g := range u.groups {
		if g.held() {
			n++
		}
	}
	return n
}

// Guards against a pause of over a second in all streams of a group. One rank loses some consecutive orders while the
// group is held for a switch. The leader sends orders again every few milliseconds, but it sent none while it waited
// for the late report of another rank.
func TestOrdersAreResentWhileReportsArePending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := newTestService([]string{"a"}, 2)
		u := &faultyRanks{testService: s, late: "a-0", losing: "a-1", toLose: 12}
		cancel := startController(t, u, list, 1)
		held := 0
		for range 6000 {
			time.Sleep(time.Millisecond)
			held += u.heldGroups()
			s.step()
		}
		cancel()
		time.Sleep(2 * orderTimeout) // lets pending calls end
		g := s.groups["a"]
		if len(g.mixed) > 0 {
			t.Fatal(g.mixed[0])
		}
		if g.ranks[0].inUse == 0 || u.toLose > 0 {
			t.Fatalf("switched to %d, %d orders not lost yet", g.ranks[0].inUse, u.toLose)
		}
		// Twelve lost orders, 15 ms apart, and the round trips of the other orders.
		if held > 300 {
			t.Fatalf("the group was held for %d ms", held)
		}
	})
}
