package lockstep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// delayedHold is a service where the first order to hold a group is executed only after the group was released.
type delayedHold struct {
	*testService
	first *lockstep.Order
	at    *catalog.Upstream
	done  bool
}

func (l *delayedHold) Order(ctx context.Context, up *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	if o.Op == lockstep.OpHold && l.delayFirst(up, o) {
		time.Sleep(orderTimeout)
		return lockstep.ReplyLost, errUnknown
	}
	reply, err := l.testService.Order(ctx, up, o)
	if o.Op == lockstep.OpRelease && l.deliverOnce() {
		_, _ = l.testService.Order(ctx, l.at, *l.first)
	}
	return reply, err
}

// delayFirst holds back the first order and reports whether it did; deliverOnce reports true once, when the order is
// to be executed.
func (l *delayedHold) delayFirst(up *catalog.Upstream, o lockstep.Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first != nil {
		return false
	}
	l.first, l.at = &o, up
	return true
}

func (l *delayedHold) deliverOnce() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.done
	l.done = true
	return first
}

// Guards against a group that stays held until its callers time out, without a log line. An order to hold the group
// got no reply and was sent again; the ranks were armed and the group released. Then the first copy was executed
// before the pass began and held the group once more, while the leader considered its switch complete.
func TestLateHoldAfterReleaseIsUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := newTestService([]string{"a"}, 2)
		l := &delayedHold{testService: s}
		cancel := startController(t, l, list, 1)
		g, held := s.groups["a"], 0
		for ms := range 6000 {
			time.Sleep(time.Millisecond)
			s.mu.Lock()
			if g.held() {
				held++
			}
			s.mu.Unlock()
			if ms%50 == 0 {
				s.step()
			}
		}
		cancel()
		time.Sleep(2 * orderTimeout) // lets pending calls end
		if len(g.mixed) > 0 {
			t.Fatal(g.mixed[0])
		}
		if !l.done {
			t.Fatal("the late order was not executed")
		}
		if held > 400 {
			t.Fatalf("the group was held for %d ms", held)
		}
	})
}
