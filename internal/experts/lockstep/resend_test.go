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
	// lateReport is just within the time in which a rank's report must come.
	lateReport = 140 * time.Millisecond
	// lostAfter is when an order without an answer is given up.
	lostAfter = 150 * time.Millisecond
)

// faultyRanks is a site where one rank reports late, and another loses its first orders to arm.
type faultyRanks struct {
	*testService
	late, losing ids.Upstream
	toLose       int
}

func (u *faultyRanks) Report(ctx context.Context, up *catalog.Upstream) (lockstep.Report, error) {
	if up.ID == u.late {
		time.Sleep(lateReport)
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
		time.Sleep(lostAfter)
		return lockstep.ReplyLost, errUnknown
	}
	return u.testService.Order(ctx, up, o)
}

// heldFor counts the milliseconds in which the groups are held.
func (u *faultyRanks) heldFor() int {
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

// Callers of all ranks see a pause of over a second in the middle of their streams. One rank loses some orders in a row
// while the group is held for a switch; orders are sent again every few milliseconds, but another rank reports late, and
// while the leader waited for its report it sent nothing.
func TestOrdersAreResentWhileReportsArePending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := newTestService([]string{"a"}, 2)
		u := &faultyRanks{testService: s, late: "a-0", losing: "a-1", toLose: 12}
		cancel := startController(t, u, list, 1)
		held := 0
		for range 6000 {
			time.Sleep(time.Millisecond)
			held += u.heldFor()
			s.step()
		}
		cancel()
		time.Sleep(2 * lostAfter) // calls that are on their way end
		g := s.groups["a"]
		if len(g.mixed) > 0 {
			t.Fatal(g.mixed[0])
		}
		if g.ranks[0].inUse == 0 || u.toLose > 0 {
			t.Fatalf("switched to %d, %d orders not lost yet", g.ranks[0].inUse, u.toLose)
		}
		// Twelve orders, 15 ms apart, and the ways of the others.
		if held > 300 {
			t.Fatalf("the group was held for %d ms", held)
		}
	})
}
