package lockstep_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// delayedCounts is a service whose ranks have hardly any counts before a given time.
type delayedCounts struct {
	*testService
	from time.Time
}

func (s *delayedCounts) Counts(ctx context.Context, u *catalog.Upstream, sets int) (lockstep.CountStart, lockstep.Counts, error) {
	if time.Now().Before(s.from) {
		return lockstep.CountStart{Epoch: s.groups["a"].epoch}, lockstep.Counts{{1, 1, 1, 1}}, nil
	}
	return s.testService.Counts(ctx, u, sets)
}

// Guards against slow responses to callers who waited for a group to form. It runs on its first map, which ignores the
// demand, until it is switched. The leader's second check finds too few counts; the next one must not be a full period
// later.
func TestNewlyFormedGroupIsSwitchedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, list := newTestService([]string{"a"}, 2)
		began := time.Now()
		ranks := &delayedCounts{testService: s, from: began.Add(130 * time.Millisecond)}
		cancel := startController(t, ranks, list, 100)
		switched := func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.groups["a"].ranks[0].inUse != 0
		}
		for !switched() && time.Since(began) < 3*time.Second {
			time.Sleep(10 * time.Millisecond)
			s.step()
		}
		cancel()
		synctest.Wait()
		if took := time.Since(began); took > 400*time.Millisecond {
			t.Fatalf("the first switch took %s", took)
		}
	})
}
