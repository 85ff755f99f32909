package gateway

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against streams that are moved from an evacuated data centre beyond the room elsewhere or the retry budget, and against
// streams of plain services that stay there because their upstreams are no ranks.
func TestStreamsLeaveEvacuatedDataCentre(t *testing.T) {
	u := ids.UpstreamIncarnation{Upstream: "u"}
	for name, tc := range map[string]struct{ room, budget, want int }{
		"no room":      {0, 9, 0},
		"little room":  {2, 9, 2},
		"few retries":  {9, 3, 3},
		"enough of it": {9, 9, 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := &service{budget: retryBudget(tc.budget)}
			s.evacuable.Store(true)
			m := newMoves()
			var streams []context.Context
			for range 4 {
				n := movableRun(s, true)
				if !n.mayMove() {
					t.Fatal("a resumable stream of a plain service may not be moved")
				}
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				m.add(u, n, cancel)
				streams = append(streams, ctx)
			}
			moved := m.moveFrom(u, moveEvacuated, tc.room, time.Now())
			cancelled := 0
			for _, ctx := range streams {
				var cause *MovedError
				if errors.As(context.Cause(ctx), &cause) && cause.Reason == moveEvacuated {
					cancelled++
				}
			}
			if moved != tc.want || cancelled != tc.want {
				t.Fatalf("moved %d, cancelled %d, want %d", moved, cancelled, tc.want)
			}
		})
	}
}

// Guards against a request to an evacuated upstream that was placed before the evacuation was known, and against one that is then
// refused because it has paid its retry for nothing, or counts as sent.
func TestRequestPlacedBeforeEvacuationIsPlacedAgain(t *testing.T) {
	g := &Gateway{requests: newRequestLogs(log.NewLogfmtLogger(io.Discard), LogBounds{})}
	u := &catalog.Upstream{ID: "u", DataCentre: "b"}
	g.view.Store(&view{})
	if err := g.checkEvacuated(u); err != nil {
		t.Fatal(err)
	}
	g.view.Store(&view{evacuated: catalog.NewEvacuations([]catalog.Evacuation{{DataCentre: "b"}})})
	err := g.checkEvacuated(u)
	if !isUnwritten(err) || outcomeOf(t.Context(), err) != dispatch.OutcomeNone {
		t.Fatalf("got %v", err)
	}
	n := movableRun(&service{budget: retryBudget(1)}, true)
	n.g, n.arrived = g, true
	if !n.takeRetry() || !n.payForRetry(time.Now()) {
		t.Fatal("no retry")
	}
	n.placeAgain(err)
	if !n.payForRetry(time.Now()) || n.sent+n.unreached > 0 || len(n.exclude) > 0 {
		t.Fatalf("sent %d, unreached %d, excluded %v", n.sent, n.unreached, n.exclude)
	}
	if used := n.service.budget.Usage(time.Now()); used.Sent != 1 {
		t.Fatalf("%d retries spent, want 1", used.Sent)
	}
}

// Guards against evacuations that are in force although the settings do not ask for them, or the mechanism is disabled.
func TestEvacuationNeedsBoundAndMechanism(t *testing.T) {
	for _, tc := range []struct {
		bound time.Duration
		off   []dispatch.Mechanism
		want  bool
	}{{0, nil, false}, {time.Second, nil, true}, {time.Second, []dispatch.Mechanism{mechanismEvacuation}, false}} {
		g := &Gateway{}
		g.settings.Store(&Settings{Bounds: Bounds{Evacuate: settings.Duration(tc.bound)}, Off: tc.off})
		if got := g.evacuates(); got != tc.want {
			t.Errorf("bound %s, off %v: %t", tc.bound, tc.off, got)
		}
	}
}
