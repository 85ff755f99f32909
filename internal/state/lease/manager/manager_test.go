package manager_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/control"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

const duty lease.Duty = "map/desk-model"

type process struct {
	manager *manager.Manager
	client  *standin.Client
	paused  chan chan struct{}
	stop    func()
}

func start(s *standin.Store, name string, seed uint64) *process {
	p := &process{client: s.Client(name), paused: make(chan chan struct{}, 1)}
	loop := control.New()
	p.manager = manager.New(manager.Config{
		Name: name, Incarnation: ids.NewIncarnation(), Table: platform.NewClient(p.client, platform.Options{}), Loop: loop,
		Rand: rand.New(rand.NewPCG(seed, 3)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(ctx, 50*time.Millisecond, func(now time.Time) {
			select {
			case resume := <-p.paused:
				<-resume
				now = time.Now()
			default:
			}
			p.manager.Tick(now)
		})
	}()
	loop.Post(func(now time.Time) { p.manager.SetWanted(now, duty, true) })
	p.stop = func() { cancel(); <-ended }
	return p
}

func (p *process) held() lease.HeldLease { return p.manager.Held(duty) }

// runProcesses runs three processes that contend for one duty while f injects faults. It checks that at each moment at most
// one process holds the duty, and that its fencing token is larger than that of every earlier holder.
// If forced is set, f releases the duty of a live holder, which may consider itself the holder until its next renewal. Then
// it only checks that no two processes hold the same fencing token, since the tokens cause the old holder's actions to be
// rejected.
func runProcesses(t *testing.T, seed uint64, forced bool, f func(s *standin.Store, ps []*process, rng *rand.Rand)) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.NewStore(standin.Limits{})
		s.SetFaults(standin.PartTable, standin.Faults{Delay: 4 * time.Millisecond})
		var ps []*process
		for i := range 3 {
			ps = append(ps, start(s, fmt.Sprintf("n%d", i), seed+uint64(i)))
		}
		done := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			watchInvariants(t, ps, forced, done)
		}()
		f(s, ps, rand.New(rand.NewPCG(seed, 4)))
		close(done)
		<-ended
		for _, p := range ps {
			p.stop()
		}
		time.Sleep(time.Minute)
	})
}

func watchInvariants(t *testing.T, ps []*process, forced bool, done chan struct{}) {
	var newest ids.Fence
	owner := -1
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		holders := 0
		for i, p := range ps {
			h := p.held()
			if !h.ValidAt(time.Now()) {
				continue
			}
			holders++
			if !forced && h.Fence < newest || h.Fence == newest && owner != i {
				t.Errorf("n%d holds fence %d, but n%d had %d", i, h.Fence, owner, newest)
			}
			if h.Fence > newest {
				newest, owner = h.Fence, i
			}
		}
		if holders > 1 && !forced {
			t.Errorf("%d nodes hold the duty", holders)
		}
	}
}

func waitForHolder(t *testing.T, ps []*process, except *process) *process {
	t.Helper()
	for range 600 {
		for _, p := range ps {
			if p != except && p.held().ValidAt(time.Now()) {
				return p
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("no process holds the duty after a minute")
	return nil
}

// Guards against an action of a holder that is paused in the middle of it and resumes after another node has acquired the
// duty. Its own check must fail, the table must reject its write in flight, and the slot's fence filter must reject its
// order.
func TestPausedHolderIsFenced(t *testing.T) {
	runProcesses(t, 1, false, func(s *standin.Store, ps []*process, _ *rand.Rand) {
		old := waitForHolder(t, ps, nil)
		before := old.held()
		resume := make(chan struct{})
		old.paused <- resume
		next := waitForHolder(t, ps, old)
		after := next.held()
		if before.ValidAt(time.Now()) {
			t.Fatal("the old holder's check passes")
		}
		var conflict *platform.ConflictError
		_, err := s.Commit(context.Background(), platform.Txn{
			Operation: "late", Checks: []platform.Check{lease.FenceCheck(duty, before.Fence)},
			Puts: []platform.Put{{Key: "maps/1", Value: []byte("old")}},
		})
		if !errors.As(err, &conflict) {
			t.Fatalf("the table accepts the old holder's write: %v", err)
		}
		var filter lease.FenceFilter
		var stale *lease.StaleFenceError
		if err := filter.Admit(after.Fence); err != nil {
			t.Fatal(err)
		}
		if err := filter.Admit(before.Fence); !errors.As(err, &stale) {
			t.Fatalf("the filter admits the old holder's order: %v", err)
		}
		close(resume)
		time.Sleep(time.Minute)
	})
}

// Guards against two holders at the same time while responses are lost, writes take effect late, nodes are partitioned and
// the table goes down, repeatedly; and against a duty that no process holds within a minute after the last fault.
func TestOneHolderUnderFaults(t *testing.T) {
	for seed := range uint64(8) {
		runProcesses(t, 10+seed, false, func(s *standin.Store, ps []*process, rng *rand.Rand) {
			for range 60 {
				f := standin.Faults{Delay: time.Duration(rng.IntN(400)) * time.Millisecond}
				f.Outage = rng.IntN(5) == 0
				f.LoseResponses = rng.IntN(4)
				f.LateWrites, f.LateBy = rng.IntN(3), time.Duration(rng.IntN(20))*time.Second
				s.SetFaults(standin.PartTable, f)
				for _, p := range ps {
					p.client.SetDisconnected(rng.IntN(4) == 0)
				}
				time.Sleep(time.Duration(rng.IntN(8)) * time.Second)
			}
			s.SetFaults(standin.PartTable, standin.Faults{})
			for _, p := range ps {
				p.client.SetDisconnected(false)
			}
			waitForHolder(t, ps, nil)
		})
	}
}

// Guards against a duty that no node acquires again after a long outage of the table. During the outage the holder's lease
// expires and no node acquires it, so control decisions wait while traffic continues.
func TestLeaseExpiresDuringTableOutage(t *testing.T) {
	runProcesses(t, 2, false, func(s *standin.Store, ps []*process, _ *rand.Rand) {
		waitForHolder(t, ps, nil)
		s.SetFaults(standin.PartTable, standin.Faults{Outage: true})
		time.Sleep(time.Minute)
		for _, p := range ps {
			if p.held().ValidAt(time.Now()) {
				t.Fatal("held without the table")
			}
		}
		s.SetFaults(standin.PartTable, standin.Faults{})
		waitForHolder(t, ps, nil)
	})
}

// Guards against writes and orders of a live holder whose duty an operator has released. The holder's fencing token must be
// outdated immediately.
func TestForcedReleaseRaisesFence(t *testing.T) {
	runProcesses(t, 3, true, func(s *standin.Store, ps []*process, _ *rand.Rand) {
		before := waitForHolder(t, ps, nil).held()
		fence, err := manager.Release(context.Background(), s, duty, "op-1")
		if err != nil || fence <= before.Fence {
			t.Fatalf("fence %d, err %v", fence, err)
		}
		time.Sleep(time.Minute)
		if after := waitForHolder(t, ps, nil).held(); after.Fence <= fence {
			t.Fatalf("fence %d after %d", after.Fence, fence)
		}
		list, err := manager.List(context.Background(), s)
		if err != nil || len(list) != 1 || list[0].GetDuty() != string(duty) || list[0].GetHolder() == "" {
			t.Fatalf("list %v, err %v", list, err)
		}
	})
}

// Guards against two leaders with the same fencing token, which would give two maps the same version. Several gateways
// allocate tokens concurrently, for the case that one of them has to lead while the table is down; each token must be
// larger than those before it.
func TestFencesAreAllocatedOnce(t *testing.T) {
	s := standin.NewStore(standin.Limits{})
	seen := map[ids.Fence]bool{}
	var mu sync.Mutex
	last := ids.Fence(0)
	for range 20 {
		var wg sync.WaitGroup
		for i := range 4 {
			client := s.Client(fmt.Sprint("gateway-", i))
			wg.Go(func() {
				n, err := manager.AllocateFence(context.Background(), client, duty)
				var conflict *manager.AllocationConflictError
				if errors.As(err, &conflict) {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil || seen[n] || n <= last {
					t.Errorf("allocated %d after %d, seen before: %t, err %v", n, last, seen[n], err)
				}
				seen[n] = true
			})
		}
		wg.Wait()
		for n := range seen {
			last = max(last, n)
		}
	}
	if len(seen) < 20 {
		t.Fatalf("%d fencing tokens were allocated in 20 rounds", len(seen))
	}
}

// Guards against a node that drops a duty that no other node holds. Its takeover takes effect but the response is lost, so
// the row names this incarnation, which is not evidence of a later holder.
func TestOwnTakeoverDoesNotCountAsOthers(t *testing.T) {
	h := lease.NewContender(duty, "a", "life-1", time.Second, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(0, 0)
	h.SetWanted(now, true)
	read := func(name, incarnation string, fence uint64) {
		h.Tick(now)
		row := lease.Row{Lease: &cardamomyokev1.Lease{Holder: name, Incarnation: incarnation, LengthMs: 1000}, Version: platform.Position{Version: fence}, Fence: platform.Position{Version: fence}}
		h.OnRead(now, h.CallID(), row, true)
		now = now.Add(400 * time.Millisecond)
	}
	read("a", "life-1", 7)
	if got := h.NewestFenceOfOthers(); got != 0 || h.NewestFence() != 7 {
		t.Fatalf("newest fence of others %d, newest fence %d", got, h.NewestFence())
	}
	read("a", "life-0", 8)
	if got := h.NewestFenceOfOthers(); got != 8 {
		t.Fatalf("newest fence of others %d, want 8 of an earlier incarnation", got)
	}
}
