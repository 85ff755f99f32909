package lockstep_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// idlePass is the duration of a pass, idleFor how long the group is idle.
	idlePass, idleFor = 40 * time.Millisecond, 30 * time.Second
	// mapAfterIdle is within which a group that works again must have a map for the demand: as long as it may take
	// clients to notice that passes are slow.
	mapAfterIdle = 2 * time.Second
)

// idleRun is a group that is idle for a while, with a leader before and one after that.
type idleRun struct {
	service   *lateRelease
	fence     atomic.Uint64
	postponed atomic.Int64
}

func (r *idleRun) start(ctx context.Context, list []*catalog.Upstream) {
	o := controllerOptions(r.service, list, 1, func() ids.Fence { return ids.Fence(r.fence.Load()) })
	o.OnPostponed = func() { r.postponed.Add(1) }
	go lockstep.NewController(o).Run(ctx)
}

func (r *idleRun) work(until func(worked time.Duration) bool) (worked time.Duration) {
	for !until(worked) {
		time.Sleep(idlePass)
		r.service.step()
		worked += idlePass
	}
	return worked
}

func (r *idleRun) version() uint64 {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	return r.service.groups["a"].ranks[0].inUse
}

// Guards against a group that keeps a map for an earlier demand when it works again, because its leader, or a new one,
// waits for passes that an idle group does not begin, and against a wait that is not counted. While the group is busy, switches
// go on as well.
func TestGroupBackFromIdlenessGetsItsMap(t *testing.T) {
	for name, newLeaders := range map[string]int{"same leader": 0, "two new leaders": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, list := newTestService([]string{"a"}, 2)
				r := &idleRun{service: &lateRelease{testService: s, hold: &lockstep.Order{}, release: &lockstep.Order{}}}
				r.fence.Store(7)
				ctx, cancel := context.WithCancel(t.Context())
				r.start(ctx, list)
				r.work(func(worked time.Duration) bool { return worked > 5*time.Second })
				before := r.version()
				r.service.setIdle()
				r.postponed.Store(0)
				for range newLeaders {
					r.fence.Add(2)
					time.Sleep(idleFor)
				}
				time.Sleep(idleFor)
				postponed := r.postponed.Load()
				took := r.work(func(worked time.Duration) bool { return r.version() != before || worked > 10*time.Second })
				t.Logf("a new map after %v; postponed %d times", took, postponed)
				cancel()
				time.Sleep(2 * orderTimeout) // lets pending calls end
				if postponed != int64(newLeaders) {
					t.Errorf("%d waits of %d new leaders were counted", postponed, newLeaders)
				}
				if before == 0 {
					t.Error("the busy group was never switched")
				}
				if took > mapAfterIdle {
					t.Errorf("the group works again for %v without a map for the demand, want %v at most", took, mapAfterIdle)
				}
			})
		})
	}
}
