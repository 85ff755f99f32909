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

// send submits a request, ends it with the given outcome, and returns the upstream it was placed at.
func send(t *testing.T, p *dispatch.Pool, now time.Time, o dispatch.Outcome) ids.Upstream {
	t.Helper()
	ticket := p.Submit(timedRequest(now), now)
	if ticket.Upstream() == nil {
		t.Fatalf("not placed: %v", ticket.Err())
	}
	p.Done(ticket, o, now)
	return ticket.Upstream().ID
}

// Guards against requests that keep failing at an upstream whose host has crashed: after two consecutive broken
// connections the upstream is ejected. Half a second later a single request probes it, and after a success it gets its
// share again.
func TestBrokenUpstreamIsEjectedAndProbed(t *testing.T) {
	p := newPool(1, 4)
	send(t, p, at(0), dispatch.OutcomeBroken)
	send(t, p, at(0), dispatch.OutcomeBroken)
	want := []dispatch.Ejection{{Upstream: "u-00", Cause: dispatch.OutcomeBroken, Consecutive: 2, Length: 500 * time.Millisecond}}
	if diff := cmp.Diff(want, p.TakeEjections()); diff != "" {
		t.Fatal(diff)
	}
	// No other upstream is left, so this one is tried in spite of its ejection.
	send(t, p, at(0), dispatch.OutcomeOK)

	p = newPool(2, 4)
	var broken ids.Upstream
	for broken == "" {
		ticket := p.Submit(timedRequest(at(0)), at(0))
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
		ticket := p.Submit(timedRequest(at(600*time.Millisecond)), at(600*time.Millisecond))
		if ticket.Upstream().ID == broken {
			probed++
		}
	}
	if probed != 1 {
		t.Fatalf("%d requests probe, want 1", probed)
	}
}

// Guards against new requests at an upstream that reports that it is draining, also when all others are full.
func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	p := newPool(2, 1)
	list := upstreams(2, 1)
	list[0].State = catalog.StateDraining
	p.SetUpstreams(list, start)
	first := p.Submit(timedRequest(start), start)
	if first.Upstream().ID != "u-01" {
		t.Fatalf("placed at %s", first.Upstream().ID)
	}
	if second := p.Submit(timedRequest(start), start); second.Upstream() != nil {
		t.Fatalf("placed at %s", second.Upstream().ID)
	}
}

// Guards against a request that is sent to a process that has refused it, under the id that the process has since the entry of the one
// before was replaced.
func TestExcludedAddressGetsNoRequest(t *testing.T) {
	p := newPool(2, 1)
	list := upstreams(2, 1)
	list[0].Address, list[1].Address = "refusing", "other"
	p.SetUpstreams(list, start)
	r := timedRequest(start)
	r.ExcludeAddresses = []string{list[0].Address}
	if first := p.Submit(r, start); first.Upstream() == nil || first.Upstream().ID != "u-01" {
		t.Fatalf("placed at %v", first.Upstream())
	}
	if second := p.Submit(r, start); second.Upstream() != nil {
		t.Fatalf("placed at %s", second.Upstream().ID)
	}
}

// Guards against an upstream that is chosen because only other gateways use it: their work must count as much as this
// gateway's own, and PlacementInputs reports how old the count was.
func TestWorkOfOtherGatewaysCounts(t *testing.T) {
	p := newPool(2, 4)
	p.SetOthersWork(map[ids.UpstreamIncarnation]dispatch.Work{{Upstream: "u-00"}: {Requests: 3}}, at(0), at(0))
	for range 3 {
		ticket := p.Submit(timedRequest(at(0)), at(150*time.Millisecond))
		if ticket.Upstream().ID != "u-01" {
			t.Fatalf("placed at the busier %s", ticket.Upstream().ID)
		}
		if got := ticket.PlacementInputs(); got.Usable != 2 || got.OthersAge != 150*time.Millisecond {
			t.Fatalf("decided by %+v", got)
		}
	}
}

// Guards against requests that wait for a service without upstreams: waiting cannot help, so they are refused
// immediately.
func TestNoUpstream(t *testing.T) {
	p := newPool(0, 0)
	var none *dispatch.NoRegisteredUpstreamError
	if err := p.Submit(timedRequest(start), start).Err(); !errors.As(err, &none) || none.RetryAfter <= 0 {
		t.Fatalf("got %v", err)
	}
}

// Guards against one slow rank that slows down its group: every pass lasts as long as that rank's work, so all callers
// would wait for the few requests placed there. The slower the rank, the fewer requests it gets, down to none; other
// ranks are used as before.
func TestSlowRankGetsFewRequests(t *testing.T) {
	for _, c := range []struct {
		slowdown float64
		want     int
	}{{0, 12}, {1.6, 4}, {2.5, 1}, {12, 0}} {
		p := newPool(2, 12)
		p.SetSlowdowns(map[ids.UpstreamIncarnation]float64{{Upstream: "u-00"}: c.slowdown})
		placed := map[ids.Upstream]int{}
		for range 30 {
			if u := p.Submit(timedRequest(start), start).Upstream(); u != nil {
				placed[u.ID]++
			}
		}
		if placed["u-00"] != c.want || placed["u-01"] != 12 {
			t.Errorf("slowdown %.1f: %d requests at the slow rank and %d at the other", c.slowdown, placed["u-00"], placed["u-01"])
		}
	}
}

// Guards against requests that wait in vain because so many ranks have failed that the group cannot re-form. At first
// they wait, since the group may be back within a second or two; later they are refused immediately. If the group opens
// after all, requests are placed as before.
func TestRequestsDoNotWaitForALostGroup(t *testing.T) {
	p := newPool(1, 4)
	p.SetClosed(true, at(0))
	if ticket := p.Submit(timedRequest(at(0)), at(0)); ticket.Err() != nil {
		t.Fatalf("refused immediately: %v", ticket.Err())
	}
	long := at(9 * time.Second)
	var overloaded *dispatch.OverloadedError
	if ticket := p.Submit(timedRequest(long), long); !errors.As(ticket.Err(), &overloaded) || overloaded.RetryAfter <= 0 {
		t.Fatalf("got %v, want a refusal with a Retry-After", ticket.Err())
	}
	p.SetClosed(false, long)
	if ticket := p.Submit(timedRequest(long), long); ticket.Upstream() == nil {
		t.Fatalf("not placed: %v", ticket.Err())
	}
}

// Guards against a rank that refuses every request and is chosen again and again, because it has the fewest requests.
func TestClosedUpstreamGetsNoRequests(t *testing.T) {
	p := newPool(2, 4)
	p.SetUpstreamClosed(ids.UpstreamIncarnation{Upstream: "u-00"}, true, at(0))
	for range 4 {
		if got := send(t, p, at(0), dispatch.OutcomeOK); got != "u-01" {
			t.Fatalf("sent to %s", got)
		}
	}
}
