package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
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
			m, begun := newMoves(), 0
			m.begin = func(n *run, _ *handovers, reason moveReason, _ time.Time) bool {
				if _, err := n.payForSuccessor(); err != nil || reason != moveEvacuated {
					return false
				}
				begun++
				return true
			}
			for range 4 {
				n := movableRun(s, true)
				if !n.mayMove() {
					t.Fatal("a resumable stream of a plain service may not be moved")
				}
				m.add(u, n, &handovers{})
			}
			if moved := m.moveFrom(u, moveEvacuated, tc.room, time.Now()); moved != tc.want || begun != tc.want {
				t.Fatalf("reported %d, began to move %d, want %d", moved, begun, tc.want)
			}
		})
	}
}

// Guards against a request to an evacuated upstream that was placed before the evacuation was known, and against one that is then
// refused because it has paid its retry for nothing, or counts as sent.
func TestRequestPlacedBeforeEvacuationIsPlacedAgain(t *testing.T) {
	g := &Gateway{requests: newRequestLogs(log.NewNopLogger(), LogBounds{})}
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

// refusingDialect takes each response for a refusal.
type refusingDialect struct{ Dialect }

func (refusingDialect) SingleResponseFields() []string { return nil }

func (refusingDialect) WriteUpstreamHeader(*fasthttp.RequestHeader, UpstreamHeader) {}

func (refusingDialect) ReadResponse(*fasthttp.ResponseHeader) ResponseInfo {
	return ResponseInfo{NotRun: true}
}

// startRefusing serves an upstream that refuses all requests, and returns it with the number of bytes that it has received.
func startRefusing(t *testing.T, id ids.Upstream, d ids.DataCentre) (*catalog.Upstream, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	received := &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				n, _ := c.Read(make([]byte, 4096))
				received.Add(int64(n))
				_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			}()
		}
	}()
	return &catalog.Upstream{ID: id, DataCentre: d, Service: "s", Address: l.Addr().String(), Slots: 4, State: catalog.StateReady}, received
}

// Guards against a request that is written to an evacuated upstream, or fails, because it was placed there before its pool knew of
// the evacuation. The pool prefers that upstream until it learns of it some time later.
func TestNothingIsWrittenOnOutdatedPlacement(t *testing.T) {
	left, leftBytes := startRefusing(t, "left", "a")
	evacuated, evacuatedBytes := startRefusing(t, "evacuated", "b")
	pool := dispatch.NewPool(dispatch.Options{Fill: 1, LateFill: 1}, rand.New(rand.NewPCG(1, 2)))
	gate := dispatch.NewGate(pool)
	gate.SetUpstreams([]*catalog.Upstream{left, evacuated})
	gate.SetOthersWork(map[ids.UpstreamIncarnation]dispatch.Work{left.Incarnation(): {Requests: 3}}, time.Now())
	set := catalog.NewEvacuations([]catalog.Evacuation{{DataCentre: "b"}})
	g := &Gateway{
		dialect: refusingDialect{}, requests: newRequestLogs(log.NewNopLogger(), LogBounds{}), metrics: newMetrics(), tracer: tracing.Disabled(),
		client: httpclient.New(httpclient.Options{}), moves: newMoves(), limits: newLimits(), suspects: newSuspects("g", log.NewNopLogger(), newMetrics()),
	}
	g.settings.Store(&Settings{})
	g.view.Store(&view{evacuated: set, upstreams: catalog.NewUpstreams(nil)})
	n := runOf("body")
	n.x.Req.SetRequestURI("/x")
	n.x.Req.Header.SetHost("h")
	n.g, n.service = g, &service{gate: gate, budget: retryBudget(0)}
	now := time.Now()
	n.r.route, n.r.service = &catalog.Route{Kind: catalog.KindUnsafe, Attempts: 1}, &catalog.Service{Name: "s"}
	n.r.arrived, n.r.deadline = now, now.Add(10*time.Second)
	time.AfterFunc(30*time.Millisecond, func() { gate.SetEvacuated(set) })
	ctx, cancel := context.WithDeadline(t.Context(), n.r.deadline)
	defer cancel()
	err := n.runAttempts(ctx)
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Upstream != "left" || n.sent != 1 || n.unreached != 0 {
		t.Fatalf("sent %d, unreached %d, %v", n.sent, n.unreached, err)
	}
	if evacuatedBytes.Load() != 0 || leftBytes.Load() == 0 {
		t.Fatalf("%d bytes were written to the evacuated upstream, %d to the other", evacuatedBytes.Load(), leftBytes.Load())
	}
}
