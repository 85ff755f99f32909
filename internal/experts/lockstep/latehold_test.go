package lockstep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// delayedHold is a site where the first order to hold a group is carried out only after the group was released.
type delayedHold struct {
	*testService
	first *lockstep.Order
	at    *catalog.Upstream
	done  bool
}

func (l *delayedHold) Order(ctx context.Context, up *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	if o.Op == lockstep.OpHold && l.delayFirst(up, o) {
		time.Sleep(lostAfter)
		return lockstep.ReplyLost, errUnknown
	}
	reply, err := l.testService.Order(ctx, up, o)
	if o.Op == lockstep.OpRelease && l.deliverOnce() {
		_, _ = l.testService.Order(ctx, l.at, *l.first)
	}
	return reply, err
}

// delayFirst keeps the first order back; take reports once that it is to be carried out.
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

// All streams of a group stand still until their callers leave, and no line tells why. An order to hold the group got no
// answer and was sent again; the ranks were armed and the group released; then the first order arrived, before the pass had
// begun, and held the group once more. Its leader takes its own switch for complete.
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
		time.Sleep(2 * lostAfter) // calls that are on their way end
		if len(g.mixed) > 0 {
			t.Fatal(g.mixed[0])
		}
		if !l.done {
			t.Fatal("the late order was not carried out")
		}
		if held > 400 {
			t.Fatalf("the group was held for %d ms", held)
		}
	})
}
