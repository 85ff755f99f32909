package lockstep_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/holdwatch"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	stallRanks = 63
	// stallPass is the duration of a pass, stallCall that of a call to a rank, stallFor how long the leader stalls.
	stallPass, stallCall, stallFor = 40 * time.Millisecond, 5 * time.Millisecond, 4 * time.Second
	// usualTakeover is about how long a successor takes without hold watch: the timeout of digests and the first calls
	// for the lease.
	usualTakeover = 500 * time.Millisecond
	// stallSilence is bounds.hold_watch.
	stallSilence = 50 * time.Millisecond
)

// stallingLeader is a leader's access to a service. Once the given orders have been executed, the leader's process
// stalls: its calls and notices begin only after stallFor.
type stallingLeader struct {
	*testService
	op     lockstep.Op
	orders int
	// stallsAt is when the stall began, in ns of the virtual clock; 0 before.
	stallsAt atomic.Int64
}

func (l *stallingLeader) wait() {
	at := l.stallsAt.Load()
	if at > 0 {
		time.Sleep(time.Until(time.Unix(0, at).Add(stallFor)))
	}
	time.Sleep(stallCall)
}

func (l *stallingLeader) stalls() bool {
	at := l.stallsAt.Load()
	return at > 0 && time.Since(time.Unix(0, at)) < stallFor
}

func (l *stallingLeader) Order(ctx context.Context, u *catalog.Upstream, o lockstep.Order) (lockstep.Reply, error) {
	l.wait()
	reply, err := l.testService.Order(ctx, u, o)
	if l.op == o.Op {
		l.mu.Lock()
		l.orders--
		stall := l.orders == 0
		l.mu.Unlock()
		if stall {
			l.stallsAt.Store(time.Now().UnixNano())
		}
	}
	if l.stalls() {
		l.wait()
	}
	return reply, err
}

func (l *stallingLeader) Report(ctx context.Context, u *catalog.Upstream) (lockstep.Report, error) {
	l.wait()
	return l.testService.Report(ctx, u)
}

// Counts reports that one expert of rank 0 is in demand.
func (l *stallingLeader) Counts(_ context.Context, _ *catalog.Upstream, _ int) (lockstep.CountStart, lockstep.Counts, error) {
	l.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts += 5000
	set := make([]float64, 2*stallRanks)
	for i := range set {
		set[i] = 1
	}
	set[0] = l.counts
	return lockstep.CountStart{Epoch: 1}, lockstep.Counts{set}, nil
}

func (l *stallingLeader) HeldExperts(ctx context.Context, u *catalog.Upstream) (lockstep.HeldExperts, error) {
	l.wait()
	h, err := l.testService.HeldExperts(ctx, u)
	r := l.addresses[u.ID].rank
	h.Experts = [][]int{{r, stallRanks + r}}
	return h, err
}

// stallRun is a leader that stalls and a standby that takes over.
type stallRun struct {
	service *testService
	list    []*catalog.Upstream
	first   *stallingLeader
	// watched is set if the standby watches the holds; holdLead is the option of the same name.
	watched  bool
	holdLead uint64
	fence    atomic.Uint64
	wake     chan struct{}
	watch    holdwatch.Watch
	notices  chan holdwatch.Notice
}

func (r *stallRun) controller(client lockstep.RankClient, fence func() ids.Fence, wake <-chan struct{}) *lockstep.Controller {
	sequence := uint64(0)
	return lockstep.NewController(lockstep.ControllerOptions{
		RankClient: client, Logger: log.NewNopLogger(), Serials: lockstep.NewSerials(), Wake: wake, Fence: fence,
		Group: func() *lockstep.Group {
			x := &catalog.Experts{Sets: 1, PerSet: 2 * stallRanks, MaxPerRank: 4, Spare: 2}
			return &lockstep.Group{Name: "a", Upstreams: r.list, Engine: &catalog.Engine{Experts: x}}
		},
		Period: 250 * time.Millisecond, HalfLife: 500 * time.Millisecond, Sample: 2, SampleLocal: 2,
		Policy:   lockstep.Options{MinGain: 0.01, MinCounts: 1},
		HoldLead: func() uint64 { return r.holdLead },
		TookOver: func(ids.Fence) bool { return r.watched },
		OnHold: func(_ string, state lockstep.HoldState, _ ids.Fence) {
			if r.first.stalls() || client != r.first {
				return
			}
			sequence++
			r.notices <- holdwatch.Notice{Fence: 1, Sequence: sequence, Outstanding: state == lockstep.HoldOutstanding}
		},
	})
}

// takesOver reports whether the standby takes over at a time.
func (r *stallRun) takesOver(now time.Time) bool {
	for len(r.notices) > 0 {
		r.watch.Hear(now, <-r.notices)
	}
	if !r.watched {
		at := r.first.stallsAt.Load()
		return at > 0 && now.Sub(time.Unix(0, at)) >= usualTakeover
	}
	return r.watch.Tick(now, holdwatch.Input{Ready: true, Spare: 2, Newest: 1, Interval: lockstep.HoldNoticeInterval, Silence: stallSilence})
}

// run plays 12 s and returns the longest time between two passes.
func (r *stallRun) run(t *testing.T) (longest time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	go r.controller(r.first, func() ids.Fence { return 1 }, nil).Run(ctx)
	second := &stallingLeader{testService: r.service}
	go r.controller(second, func() ids.Fence { return ids.Fence(r.fence.Load()) }, r.wake).Run(ctx)
	g := r.service.groups["a"]
	begun := time.Now()
	for range 12000 {
		time.Sleep(time.Millisecond)
		if r.fence.Load() == 0 && r.takesOver(time.Now()) {
			r.fence.Store(2)
			r.wake <- struct{}{}
		}
		if since := time.Since(begun); since >= stallPass {
			before := g.pass
			r.service.step()
			if g.pass > before {
				longest, begun = max(longest, since), time.Now()
			}
		}
	}
	cancel()
	time.Sleep(2 * stallFor) // lets pending calls end
	return longest
}

// Guards against streams that pause for as long as a leader stalls while it holds their group, and against mixed maps
// when it continues after its successor has undone its switch.
func TestStalledLeaderIsReplaced(t *testing.T) {
	for _, stall := range []struct {
		name   string
		op     lockstep.Op
		orders int
	}{{"after the hold", lockstep.OpHold, 1}, {"after some arm orders", lockstep.OpArm, 20}, {"after all arm orders", lockstep.OpArm, stallRanks}} {
		for _, c := range []struct {
			watched  bool
			holdLead uint64
			want     time.Duration
		}{{false, 0, time.Second}, {true, 0, 200 * time.Millisecond}, {true, 4, 120 * time.Millisecond}} {
			t.Run(fmt.Sprintf("%s, watched %t, lead %d", stall.name, c.watched, c.holdLead), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, list := newTestService([]string{"a"}, stallRanks)
					r := &stallRun{
						service: s, list: list, watched: c.watched, holdLead: c.holdLead, wake: make(chan struct{}, 1),
						first: &stallingLeader{testService: s, op: stall.op, orders: stall.orders}, notices: make(chan holdwatch.Notice, 100),
					}
					longest := r.run(t)
					t.Logf("the longest time between two passes was %v", longest)
					g := s.groups["a"]
					if len(g.mixed) > 0 {
						t.Fatal(g.mixed[0])
					}
					if r.first.stallsAt.Load() == 0 || g.ranks[0].inUse < 2<<16 {
						t.Fatalf("stalled at %d, map %d in use: the second leader made no switch", r.first.stallsAt.Load(), g.ranks[0].inUse)
					}
					if longest > c.want {
						t.Errorf("the group was held for too long, want %v at most", c.want)
					}
				})
			})
		}
	}
}
