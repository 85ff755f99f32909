package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// fakeRanks reports the group of each rank; only Report is implemented.
type fakeRanks struct {
	lockstep.RankClient
	mu   sync.Mutex
	size int
	// closed are the ranks whose group is not open.
	closed map[ids.Upstream]bool
}

func (f *fakeRanks) Report(_ context.Context, u *catalog.Upstream) (lockstep.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lockstep.Report{Size: f.size, Open: !f.closed[u.ID], Fresh: true}, nil
}

func (f *fakeRanks) open(id ids.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.closed, id)
}

func newTestWatch(t *testing.T, ranks *fakeRanks, n int) (*groupWatch, []*catalog.Upstream) {
	t.Helper()
	var list []*catalog.Upstream
	for i := range n {
		list = append(list, &catalog.Upstream{ID: ids.Upstream(fmt.Sprintf("u-%d", i)), State: catalog.StateReady, Slots: 8})
	}
	gate := dispatch.NewGate(dispatch.NewPool(dispatch.Options{Fill: 1, LateFill: 1}, rand.New(rand.NewPCG(1, 2))))
	gate.SetUpstreams(list)
	w := &groupWatch{
		ranks: ranks, gate: gate, logger: log.NewNopLogger(), ranksWatched: map[ids.UpstreamIncarnation]bool{},
		upstreams: func() []*catalog.Upstream { return list },
	}
	return w, list
}

// notWatching reports whether no group or rank is watched. Tests poll it; none measures time.
func (w *groupWatch) notWatching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.watching && len(w.ranksWatched) == 0
}

// placedUpstreams submits requests until one is not placed immediately, finishes them, and returns the upstreams that
// got any.
func placedUpstreams(g *dispatch.Gate) map[ids.Upstream]bool {
	got := map[ids.Upstream]bool{}
	var tickets []*dispatch.Ticket
	defer func() {
		for _, t := range tickets {
			g.Done(t, dispatch.OutcomeNone)
		}
	}()
	for {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // a request that would have to wait returns immediately
		now := time.Now()
		ticket, err := g.Wait(ctx, dispatch.Request{Arrived: now, Target: now.Add(time.Hour), Deadline: now.Add(time.Hour)})
		if err != nil {
			return got
		}
		got[ticket.Upstream().ID] = true
		tickets = append(tickets, ticket)
	}
}

// Guards against refusals by a service that could serve. It has three ranks, and a group needs two. The third refuses
// every request, therefore looks idle, and would get the next request as well. It must stay closed until it reports
// that its group is open, while the two others continue.
func TestSpareRankIsClosedAlone(t *testing.T) {
	ranks := &fakeRanks{size: 2, closed: map[ids.Upstream]bool{"u-2": true}}
	w, list := newTestWatch(t, ranks, 3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w.closeGroup(ctx, list[2], "refused")
	for !w.watchesOnly(list[2]) {
		time.Sleep(time.Millisecond)
	}
	got := placedUpstreams(w.gate)
	if !got["u-0"] || !got["u-1"] || got["u-2"] {
		t.Fatalf("placed at %v, want all but u-2", got)
	}
	ranks.open("u-2")
	for !w.notWatching() {
		time.Sleep(time.Millisecond)
	}
	if got := placedUpstreams(w.gate); !got["u-2"] {
		t.Fatalf("placed at %v after the group opened, want u-2", got)
	}
}

// watchesOnly reports whether u is the only rank watched, and the group as a whole is no longer watched.
func (w *groupWatch) watchesOnly(u *catalog.Upstream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.watching && len(w.ranksWatched) == 1 && w.ranksWatched[u.Incarnation()]
}

// Guards against requests that each rank of a broken group refuses in turn. While a rank is replaced, the registry
// lists both the new and the old one, so that there are more ranks than one group needs, and the only group is broken.
// No rank may get a request until the group is open.
func TestBrokenGroupWithSpareRankIsClosedEntirely(t *testing.T) {
	ranks := &fakeRanks{size: 2, closed: map[ids.Upstream]bool{"u-0": true, "u-1": true, "u-2": true}}
	w, list := newTestWatch(t, ranks, 3)
	w.groupSize = 2
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w.closeGroup(ctx, list[1], "refused")
	for len(placedUpstreams(w.gate)) > 0 {
		time.Sleep(time.Millisecond)
	}
	ranks.open("u-0")
	ranks.open("u-1")
	for !w.watchesOnly(list[2]) {
		time.Sleep(time.Millisecond)
	}
	if got := placedUpstreams(w.gate); !got["u-0"] || !got["u-1"] || got["u-2"] {
		t.Fatalf("placed at %v, want all but u-2", got)
	}
}

// Guards against refusals while the ranks of the only group stall because one of them has died. Requests must wait for
// the group as a whole, and are placed when a rank reports that it is open again.
func TestBrokenGroupIsClosedEntirely(t *testing.T) {
	ranks := &fakeRanks{size: 2, closed: map[ids.Upstream]bool{"u-0": true, "u-1": true}}
	w, list := newTestWatch(t, ranks, 2)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w.closeGroup(ctx, list[1], "refused")
	if got := placedUpstreams(w.gate); len(got) > 0 {
		t.Fatalf("placed at %v, want none", got)
	}
	ranks.open("u-0")
	ranks.open("u-1")
	for !w.notWatching() {
		time.Sleep(time.Millisecond)
	}
	if got := placedUpstreams(w.gate); len(got) != 2 {
		t.Fatalf("placed at %v, want both", got)
	}
}
