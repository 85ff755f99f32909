package dispatch_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

var start = time.Unix(0, 0)

func newPool(n, slots int) *dispatch.Pool {
	p := dispatch.NewPool(dispatch.Options{Fill: 1, LateFill: 1}, rand.New(rand.NewPCG(1, 2)))
	p.SetUpstreams(upstreams(n, slots), start)
	return p
}

func at(d time.Duration) time.Time { return start.Add(d) }

// send offers a request, ends it with an outcome, and returns where it went.
func send(t *testing.T, p *dispatch.Pool, now time.Time, o dispatch.Outcome) ids.Upstream {
	t.Helper()
	ticket := p.Submit(timed(now), now)
	if ticket.Upstream() == nil {
		t.Fatalf("not placed: %v", ticket.Err())
	}
	p.Done(ticket, o, now)
	return ticket.Upstream().ID
}

// An upstream's host has died: each connection to it breaks. After two in a row requests keep away from it, one is sent
// half a second later to find out, and after its success the upstream takes its share again.
func TestBrokenUpstreamIsLeftAloneAndProbed(t *testing.T) {
	p := newPool(1, 4)
	send(t, p, at(0), dispatch.OutcomeBroken)
	send(t, p, at(0), dispatch.OutcomeBroken)
	want := []dispatch.Ejection{{Upstream: "u-00", Cause: dispatch.OutcomeBroken, Consecutive: 2, For: 500 * time.Millisecond}}
	if diff := cmp.Diff(want, p.TakeEjections()); diff != "" {
		t.Fatal(diff)
	}
	// No other upstream is left, so it is tried all the same.
	send(t, p, at(0), dispatch.OutcomeOK)

	p = newPool(2, 4)
	var broken ids.Upstream
	for broken == "" {
		ticket := p.Submit(timed(at(0)), at(0))
		if ticket.Upstream().ID == "u-00" {
			p.Done(ticket, dispatch.OutcomeBroken, at(0))
			if len(p.TakeEjections()) > 0 {
				broken = "u-00"
			}
			continue
		}
		p.Done(ticket, dispatch.OutcomeOK, at(0))
	}
	for range 20 {
		if got := send(t, p, at(100*time.Millisecond), dispatch.OutcomeOK); got == broken {
			t.Fatal("sent to the broken upstream")
		}
	}
	probed := 0
	for range 4 {
		ticket := p.Submit(timed(at(600*time.Millisecond)), at(600*time.Millisecond))
		if ticket.Upstream().ID == broken {
			probed++
		}
	}
	if probed != 1 {
		t.Fatalf("%d requests probe, want 1", probed)
	}
}

// An upstream that reported that it leaves takes nothing new, also while others are full.
func TestDrainingUpstreamTakesNothing(t *testing.T) {
	p := newPool(2, 1)
	list := upstreams(2, 1)
	list[0].State = catalog.StateDraining
	p.SetUpstreams(list, start)
	first := p.Submit(timed(start), start)
	if first.Upstream().ID != "u-01" {
		t.Fatalf("placed at %s", first.Upstream().ID)
	}
	if second := p.Submit(timed(start), start); second.Upstream() != nil {
		t.Fatalf("placed at %s", second.Upstream().ID)
	}
}

// What the other gateways have in flight counts as much as what this one has, and the placement says how old it was.
func TestOthersWorkCounts(t *testing.T) {
	p := newPool(2, 4)
	p.SetOthers(map[ids.UpstreamIncarnation]dispatch.Work{{Upstream: "u-00"}: {Requests: 3}}, at(0), at(0))
	for range 3 {
		ticket := p.Submit(timed(at(0)), at(150*time.Millisecond))
		if ticket.Upstream().ID != "u-01" {
			t.Fatalf("placed at the busier %s", ticket.Upstream().ID)
		}
		if got := ticket.Decision(); got.Usable != 2 || got.OthersAge != 150*time.Millisecond {
			t.Fatalf("decided by %+v", got)
		}
	}
}

// A service has no upstream at all: callers are told at once, as no wait can help them.
func TestNoUpstream(t *testing.T) {
	p := newPool(0, 0)
	var none *dispatch.NoUpstreamError
	if err := p.Submit(timed(start), start).Err(); !errors.As(err, &none) || none.RetryAfter <= 0 {
		t.Fatalf("got %v", err)
	}
}

// One rank of a group is slow. Every pass of the group lasts as long as that rank's own work, so all callers would wait for
// the few whose requests it has: it gets fewer the slower it is, and none if it is much slower. Others are used as before.
func TestSlowRankGetsFewRequests(t *testing.T) {
	for _, c := range []struct {
		pace float64
		want int
	}{{0, 12}, {1.6, 4}, {2.5, 1}, {12, 0}} {
		p := newPool(2, 12)
		p.SetPaces(map[ids.UpstreamIncarnation]float64{{Upstream: "u-00"}: c.pace})
		placed := map[ids.Upstream]int{}
		for range 30 {
			if u := p.Submit(timed(start), start).Upstream(); u != nil {
				placed[u.ID]++
			}
		}
		if placed["u-00"] != c.want || placed["u-01"] != 12 {
			t.Errorf("pace %.1f: %d requests at the slow rank and %d at the other", c.pace, placed["u-00"], placed["u-01"])
		}
	}
}

// So many ranks are gone that the group cannot form again. At first requests wait for it, since it may be back within a
// second or two; later a caller that is kept waiting only loses the time in which it could do something else, so it is
// refused at once. When the group opens after all, requests are placed as before.
func TestRequestsDoNotWaitForAGroupThatIsLost(t *testing.T) {
	p := newPool(1, 4)
	p.SetClosed(true, at(0))
	if ticket := p.Submit(timed(at(0)), at(0)); ticket.Err() != nil {
		t.Fatalf("refused at once: %v", ticket.Err())
	}
	long := at(9 * time.Second)
	var overloaded *dispatch.OverloadedError
	if ticket := p.Submit(timed(long), long); !errors.As(ticket.Err(), &overloaded) || overloaded.RetryAfter <= 0 {
		t.Fatalf("got %v, want a refusal with the time to come back", ticket.Err())
	}
	p.SetClosed(false, long)
	if ticket := p.Submit(timed(long), long); ticket.Upstream() == nil {
		t.Fatalf("not placed: %v", ticket.Err())
	}
}

// A rank that is known to refuse everything has the fewest requests and would be chosen first; it gets none.
func TestAClosedUpstreamTakesNothing(t *testing.T) {
	p := newPool(2, 4)
	p.SetUpstreamClosed(ids.UpstreamIncarnation{Upstream: "u-00"}, true, at(0))
	for range 4 {
		if got := send(t, p, at(0), dispatch.OutcomeOK); got != "u-01" {
			t.Fatalf("sent to %s", got)
		}
	}
}
