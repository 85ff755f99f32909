package dispatch_test

import (
	"errors"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// cold returns the allowances of cold upstreams of which this gateway may send each perSecond.
func cold(perSecond float64, names ...string) dispatch.ColdAllowances {
	c := dispatch.ColdAllowances{Upstreams: map[ids.UpstreamIncarnation]dispatch.ColdAllowance{}, ValidUntil: at(time.Hour)}
	for _, n := range names {
		c.Upstreams[ids.UpstreamIncarnation{Upstream: ids.Upstream(n)}] = dispatch.ColdAllowance{Limit: 17, PerSecond: perSecond, Burst: 1}
	}
	return c
}

// Guards against a cold upstream that gets more than this gateway's part, or whose stated limit no longer counts.
func TestColdUpstreamGetsOnlyItsPart(t *testing.T) {
	for name, tc := range map[string]struct {
		limited   []string
		low, high int
	}{"cold": {nil, 14, 20}, "cold and limited": {[]string{"u-00"}, 8, 10}} {
		p := newPool(2, 100)
		p.SetCold(cold(1, "u-00"), at(0))
		p.SetAllowances(allowances(tc.limited...), at(0))
		got := 0
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			if send(t, p, at(now), dispatch.OutcomeOK) == "u-00" {
				got++
			}
		}
		if got < tc.low || got > tc.high {
			t.Errorf("%s: %d requests in 20 s", name, got)
		}
	}
}

// Guards against a pool without cold upstreams that decides otherwise than one in which they were never known, and against a
// cold period that goes on after its end.
func TestWarmUpstreamsAreNotHeldBack(t *testing.T) {
	p := newPool(1, 100)
	p.SetCold(cold(0.1, "u-00"), at(0))
	p.SetCold(dispatch.ColdAllowances{}, at(time.Second))
	for range 20 {
		send(t, p, at(time.Second), dispatch.OutcomeOK)
	}
	if p.Limited() {
		t.Fatal("still limited")
	}
}

// Guards against waiting requests that all go to an upstream as soon as it is listed, before it is known to be cold.
func TestUpstreamIsColdFromItsFirstListing(t *testing.T) {
	p := newPool(0, 4)
	p.SetCold(cold(1, "u-new"), at(0))
	p.SetUpstreams([]*catalog.Upstream{{ID: "u-new", Slots: 4, State: catalog.StateReady}}, at(0))
	if ticket := p.Submit(timedRequest(at(0)), at(0)); ticket.Upstream() != nil {
		t.Fatal("placed at once")
	}
}

// Guards against requests that wait for cold upstreams past their target, instead of being refused at once with the time to come
// back; against a gateway that sends before it may; and against one whose allowances are too old.
func TestRequestBeyondColdRateIsRefusedAtOnce(t *testing.T) {
	early := cold(1, "u-00", "u-01")
	early.From = at(1500 * time.Millisecond)
	old := cold(1, "u-00", "u-01")
	old.ValidUntil = at(0)
	for name, tc := range map[string]struct {
		cold      dispatch.ColdAllowances
		low, high time.Duration
		refused   bool
	}{
		"a request in 1 s":          {cold(1, "u-00", "u-01"), time.Second, 1500 * time.Millisecond, true},
		"no part":                   {cold(0, "u-00", "u-01"), 0, time.Second, true},
		"sends nothing before":      {early, 1300 * time.Millisecond, 2 * time.Second, true},
		"waits for a renewal":       {old, 0, 0, false},
		"one of two upstreams cold": {cold(0, "u-00"), 0, 0, false},
	} {
		p := newPool(2, 4)
		p.SetCold(tc.cold, at(0))
		ticket := p.Submit(timedRequest(at(0)), at(0))
		var restricted *dispatch.RestrictedError
		if got := errors.As(ticket.Err(), &restricted); got != tc.refused {
			t.Errorf("%s: got %v", name, ticket.Err())
			continue
		}
		if tc.refused && (restricted.Cold != 2 || restricted.RetryAfter < tc.low || restricted.RetryAfter > tc.high) {
			t.Errorf("%s: got %+v", name, restricted)
		}
		if name == "waits for a renewal" && ticket.Upstream() != nil {
			t.Errorf("%s: placed", name)
		}
	}
}

// Guards against callers who are all refused after an outage: when the group is open again, their requests are late and all
// upstreams are cold.
func TestLateRequestsWaitForColdUpstreams(t *testing.T) {
	p := newPool(2, 4)
	p.SetCold(cold(1, "u-00", "u-01"), at(0))
	p.SetClosed(true, at(0))
	waiting := p.Submit(timedRequest(at(0)), at(0))
	p.SetClosed(false, at(targetLatency+50*time.Millisecond))
	if waiting.Err() != nil {
		t.Fatalf("refused: %v", waiting.Err())
	}
	if p.Tick(at(time.Second)); waiting.Upstream() == nil {
		t.Fatal("not placed when the upstreams permit it")
	}
}

// Guards against callers who are refused together because a group is open again just before their target: they cannot be in time at
// another gateway either.
func TestRequestsInTimeWaitForColdUpstreamsOfReopenedGroup(t *testing.T) {
	p := newPool(2, 4)
	p.SetCold(cold(2, "u-00", "u-01"), at(0))
	p.SetClosed(true, at(0))
	waiting := p.Submit(timedRequest(at(0)), at(0))
	p.SetClosed(false, at(targetLatency/4))
	arriving := p.Submit(timedRequest(at(targetLatency/4)), at(targetLatency/4))
	for name, ticket := range map[string]*dispatch.Ticket{"waited": waiting, "arrives afterwards": arriving} {
		if ticket.Err() != nil {
			t.Errorf("%s: refused: %v", name, ticket.Err())
		}
	}
	if p.Tick(at(time.Second)); waiting.Upstream() == nil || arriving.Upstream() == nil {
		t.Error("not placed when the upstreams permit it")
	}
	if ticket := p.Submit(timedRequest(at(3*time.Second)), at(3*time.Second)); ticket.Upstream() == nil {
		t.Errorf("later: %v", ticket.Err())
	}
}

// Guards against a gateway that leaves the slots of a cold upstream to others that have no part of its rate.
func TestColdUpstreamIsNotLeftToGatewaysWithoutAPart(t *testing.T) {
	p := newPool(1, 2)
	p.SetSharing(dispatch.Sharing{Gateways: 44, Interval: 300 * time.Millisecond})
	p.SetCold(cold(1, "u-00"), at(0))
	for i := range 2 {
		now := time.Duration(i+1) * 1100 * time.Millisecond
		if ticket := p.Submit(timedRequest(at(now)), at(now)); ticket.Upstream() == nil {
			t.Fatalf("request %d is not placed: %v", i, ticket.Err())
		}
	}
}
