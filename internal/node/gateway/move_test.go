package gateway

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// movableRun is a run before its first attempt, on a route with two attempts.
func movableRun(s *service, resumable bool) *run {
	return &run{service: s, r: &request{route: &catalog.Route{Resumable: resumable, Attempts: 2}}}
}

func retryBudget(granted int) *retry.SharedBudget {
	b := retry.NewSharedBudget()
	b.SetBound(retry.Bound{Length: 10 * time.Second})
	b.Grant(granted, time.Now())
	return b
}

// Guards against a very slow rank that delays all callers of its group, and moves from ranks that are not.
func TestStreamsAreMovedFromVerySlowRank(t *testing.T) {
	moved := map[ids.Upstream]int{}
	m := newMoves()
	m.begin = func(_ *run, h *handovers, _ moveReason, _ time.Time) bool {
		moved[h.from]++
		return true
	}
	for _, u := range []ids.Upstream{"very-slow", "slow", "usual"} {
		for range 3 {
			m.add(ids.UpstreamIncarnation{Upstream: u}, &run{}, &handovers{from: u})
		}
	}
	m.moveStreams(map[ids.UpstreamIncarnation]float64{{Upstream: "very-slow"}: 12, {Upstream: "slow"}: 2}, time.Now())
	if moved["very-slow"] != 3 || moved["slow"] != 0 || moved["usual"] != 0 {
		t.Fatalf("moved %v, want three from very-slow", moved)
	}
}

// Guards against moves beyond the room that there is elsewhere, and a stream that cannot be moved and counts against it.
func TestMovesKeepWithinLimit(t *testing.T) {
	begun := 0
	m := newMoves()
	m.begin = func(n *run, _ *handovers, _ moveReason, _ time.Time) bool {
		if n.sent > 0 {
			return false
		}
		begun++
		return true
	}
	for i := range 6 {
		m.add(ids.UpstreamIncarnation{Upstream: "u"}, &run{sent: i % 2}, &handovers{})
	}
	if got := m.moveFrom(ids.UpstreamIncarnation{Upstream: "u"}, moveEvacuated, 2, time.Now()); got != 2 || begun != 2 {
		t.Errorf("began %d, reported %d, want 2", begun, got)
	}
}

// Guards against moving a stream that may not be resumed, or has no attempt left. It ends where it is.
func TestOnlyResumableStreamsMayMove(t *testing.T) {
	s := &service{group: &groupWatch{}, budget: retryBudget(9)}
	last := movableRun(s, true)
	last.sent = 1
	plain := movableRun(&service{budget: retryBudget(9)}, true)
	for _, c := range []struct {
		name string
		run  *run
		want bool
	}{
		{"resumable, first attempt", movableRun(s, true), true},
		{"not resumable", movableRun(s, false), false},
		{"last attempt", last, false},
		{"not of a group", plain, false},
	} {
		if got := c.run.mayMove(); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// Guards against streams that stay on a very slow rank because those of another service cannot be moved.
func TestUsedUpBudgetDoesNotKeepStreamsOfOtherServices(t *testing.T) {
	used, other := &service{}, &service{}
	for range 32 { // the ranks are visited in random order
		moved := false
		m := newMoves()
		m.begin = func(n *run, _ *handovers, _ moveReason, _ time.Time) bool {
			moved = moved || n.service == other
			return n.service == other
		}
		slowdowns := map[ids.UpstreamIncarnation]float64{}
		for u, s := range map[ids.Upstream]*service{"a": used, "b": used, "c": other} {
			m.add(ids.UpstreamIncarnation{Upstream: u}, movableRun(s, true), &handovers{})
			slowdowns[ids.UpstreamIncarnation{Upstream: u}] = 12
		}
		m.moveStreams(slowdowns, time.Now())
		if !moved {
			t.Fatal("the stream of the other service was not moved")
		}
	}
}

// Guards against a stream that is given up because no retry is left for its successor.
func TestSuccessorWithoutRetryIsNotSent(t *testing.T) {
	n := movableRun(&service{budget: retryBudget(0)}, true)
	var none *NoRetryError
	if _, err := n.payForSuccessor(); !errors.As(err, &none) {
		t.Errorf("got %v, want *NoRetryError", err)
	}
}

// Guards against a moved stream that is truncated because a second retry is wanted for its successor, which has paid.
func TestMovedStreamIsRetriedWithoutBudget(t *testing.T) {
	pool := dispatch.NewPool(dispatch.Options{Fill: 1, LateFill: 1}, rand.New(rand.NewPCG(1, 1)))
	pool.SetUpstreams([]*catalog.Upstream{{ID: "u", Slots: 1, State: catalog.StateReady}}, time.Now())
	ticket, ok := pool.TryPlace(dispatch.Request{}, time.Now())
	if !ok {
		t.Fatal("no place")
	}
	n := movableRun(&service{budget: retryBudget(0)}, true)
	n.g, n.r.service, n.arrived = &Gateway{metrics: newMetrics()}, &catalog.Service{Name: "s"}, true
	n.successor = &successor{ticket: ticket}
	if got, err := n.place(t.Context(), nil); err != nil || got != ticket {
		t.Fatalf("got %v, %v, want the successor's ticket", got, err)
	}
}
