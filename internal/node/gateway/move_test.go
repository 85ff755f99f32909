package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
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

// Guards against a very slow rank that delays all callers of its group: one rank is slowed down twelvefold, another
// twofold, and all callers wait for the first in each pass. Its streams must be moved, as many as the retry budget
// allows, and no others: a stream that could not be sent again would be truncated.
func TestStreamsAreMovedFromVerySlowRank(t *testing.T) {
	s := &service{group: &groupWatch{}, budget: retryBudget(2)}
	m := newMoves()
	at := map[ids.Upstream][]context.Context{}
	for _, u := range []ids.Upstream{"very-slow", "slow", "usual"} {
		for range 3 {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			m.add(ids.UpstreamIncarnation{Upstream: u}, movableRun(s, true), cancel)
			at[u] = append(at[u], ctx)
		}
	}
	m.moveStreams(map[ids.UpstreamIncarnation]float64{{Upstream: "very-slow"}: 12, {Upstream: "slow"}: 2}, time.Now())
	moved := map[ids.Upstream]int{}
	for u, list := range at {
		for _, ctx := range list {
			var cause *MovedError
			if errors.As(context.Cause(ctx), &cause) && cause.Upstream == u {
				moved[u]++
			}
		}
	}
	if moved["very-slow"] != 2 || moved["slow"] != 0 || moved["usual"] != 0 {
		t.Fatalf("moved %v, want two from very-slow", moved)
	}
}

// Guards against streams that stay on a very slow rank because the retry budget of another service is used up.
func TestUsedUpBudgetDoesNotKeepStreamsOfOtherServices(t *testing.T) {
	for range 32 { // the ranks are visited in random order
		m := newMoves()
		slowdowns := map[ids.UpstreamIncarnation]float64{}
		add := func(u ids.Upstream, budget *retry.SharedBudget) context.Context {
			ctx, cancel := context.WithCancelCause(t.Context())
			t.Cleanup(func() { cancel(nil) })
			m.add(ids.UpstreamIncarnation{Upstream: u}, movableRun(&service{group: &groupWatch{}, budget: budget}, true), cancel)
			slowdowns[ids.UpstreamIncarnation{Upstream: u}] = 12
			return ctx
		}
		used := retryBudget(0)
		add("a", used)
		add("b", used)
		other := add("c", retryBudget(1))
		m.moveStreams(slowdowns, time.Now())
		var moved *MovedError
		if !errors.As(context.Cause(other), &moved) {
			t.Fatal("the stream of the other service was not moved")
		}
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

// Guards against a moved stream that is truncated because the retry budget is used up. Moving it has already consumed
// its share of the budget.
func TestMovedStreamIsRetriedWithoutBudget(t *testing.T) {
	n := movableRun(&service{group: &groupWatch{}, budget: retryBudget(0)}, true)
	n.r.route.Kind = catalog.KindStream
	n.g = &Gateway{suspects: newSuspects("g", nil, newMetrics())}
	n.x = runOf("").x
	n.recordFailure(&catalog.Upstream{ID: "u"}, &MovedError{Upstream: "u"})
	if reason := n.stopReason(t.Context(), &MovedError{Upstream: "u"}); reason != "" {
		t.Fatalf("aborted: %s", reason)
	}
}
