package gateway

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/completeness"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// signedDialect takes each response for a signed answer.
type signedDialect struct{ refusingDialect }

func (signedDialect) ReadResponse(*fasthttp.ResponseHeader) ResponseInfo {
	return ResponseInfo{Signed: true}
}

func (signedDialect) ResponseAttempt(*fasthttp.ResponseHeader) string { return "" }

// startStreaming serves an upstream that answers each request with the header of a stream and events, and holds the rest.
func startStreaming(t *testing.T, id ids.Upstream, events string) *catalog.Upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serveEvents(c, events)
		}
	}()
	return &catalog.Upstream{ID: id, Service: "s", Address: l.Addr().String(), Slots: 1, State: catalog.StateReady}
}

func serveEvents(c net.Conn, events string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 100000\r\n\r\n"+events)
	_, _ = io.Copy(io.Discard, in) // until the gateway closes the connection
}

// resumableRun returns the run of a resumable stream, with two attempts, of a service with upstreams.
func resumableRun(t *testing.T, upstreams ...*catalog.Upstream) *run {
	t.Helper()
	gate := dispatch.NewGate(dispatch.NewPool(dispatch.Options{Fill: 1, LateFill: 1}, rand.New(rand.NewPCG(1, 2))))
	gate.SetUpstreams(upstreams)
	g := &Gateway{
		ctx: t.Context(), dialect: signedDialect{}, requests: newRequestLogs(log.NewNopLogger(), LogBounds{}), metrics: newMetrics(), tracer: tracing.Disabled(),
		client: httpclient.New(httpclient.Options{}), moves: newMoves(), limits: newLimits(), suspects: newSuspects("g", log.NewNopLogger(), newMetrics()),
	}
	g.settings.Store(&Settings{})
	g.view.Store(&view{evacuated: catalog.NewEvacuations(nil), upstreams: catalog.NewUpstreams(nil)})
	n := runOf("body")
	n.x.Req.SetRequestURI("/x")
	n.x.Req.Header.SetHost("h")
	n.g, n.ctx = g, t.Context()
	n.service = &service{gate: gate, budget: retryBudget(4), habit: &completeness.Habit{}, gaps: &completeness.Habit{}, group: &groupWatch{}}
	n.r.route = &catalog.Route{Kind: catalog.KindStream, Attempts: 2, Resumable: true}
	n.r.service = &catalog.Service{Name: "s"}
	n.r.arrived, n.r.deadline = time.Now(), time.Now().Add(10*time.Second)
	n.arrived = true
	return n
}

// placeAtSlow places the run at its first upstream, and makes that one slow.
func placeAtSlow(t *testing.T, n *run, slow *catalog.Upstream) *dispatch.Ticket {
	t.Helper()
	ticket, ok := n.service.gate.PlaceAt(dispatch.Request{}, slow.Incarnation())
	if !ok {
		t.Fatal("no place at the first upstream")
	}
	n.service.gate.SetSlowdowns(map[ids.UpstreamIncarnation]float64{slow.Incarnation(): 12})
	return ticket
}

// expectFree fails unless an upstream's only slot is free.
func expectFree(t *testing.T, n *run, u *catalog.Upstream) {
	t.Helper()
	ticket, ok := n.service.gate.TryPlace(dispatch.Request{})
	if !ok || ticket.Upstream().ID != u.ID {
		t.Errorf("the slot of %s is still taken after the request has ended", u.ID)
	}
}

// Guards against a stream that leaves a slow rank and whose attempt ends before its new place is recorded: the place is never given back, and
// the retry is read while it is written.
func TestStreamThatLeavesKeepsItsPlaceUntilRecorded(t *testing.T) {
	for range 20 {
		slow, other := startStreaming(t, "slow", ""), startStreaming(t, "other", "")
		n := resumableRun(t, slow, other)
		ticket := placeAtSlow(t, n, slow)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for left := 0; left == 0; time.Sleep(time.Millisecond) {
				left = n.g.moves.moveFrom(slow.Incarnation(), moveSlow, 1, time.Now())
			}
		}()
		err := n.movableAttempt(t.Context(), ticket)
		if !errors.As(err, new(*MovedError)) {
			t.Fatal(err)
		}
		left, token := n.left, n.token
		<-done
		if left == nil || token == nil {
			t.Fatalf("the stream has left: place %v, retry %v are not recorded", left, token)
		}
	}
}

// Guards against a successor that takes over although the gateway has given it up: the attempt that works ends, and the successor's connection
// is closed.
func TestCancelledSuccessorDoesNotTakeOver(t *testing.T) {
	h, ctx := handoverOf(t, time.Millisecond)
	p, successorCtx, _ := h.begin(moveStalled, time.Now())
	h.hold(p, func() {})
	go func() {
		<-successorCtx.Done()
		h.decide(p, &successor{}, time.Now()) // its first event came as the wait for it ended
	}()
	if err := h.beginWrite(ctx); err != nil {
		t.Fatalf("%v: the attempt was ended for a successor whose context is cancelled", err)
	}
	h.endWrite()
}

// Guards against a place that is held for as long as the process runs, because the stream for which it is reserved goes back at once.
func TestPlaceOfStreamThatGoesBackAtOnceIsFreed(t *testing.T) {
	slow, other := startStreaming(t, "slow", ""), startStreaming(t, "other", "")
	n := resumableRun(t, slow, other)
	ticket := placeAtSlow(t, n, slow)
	h := newHandovers(n.ctx, func(error) {}, slow.ID, time.Second)
	h.request = dispatch.Request{Exclude: h.excluded()}
	h.failed(&catalog.Upstream{ID: "third"}, &httpclient.BrokenError{Cause: io.EOF}) // a handover of a stalled event that came to nothing
	if !n.leave(h, moveSlow, time.Now()) {
		return // such a stream may also stay
	}
	n.recordLeft(slow, h)
	n.recordFailedSuccessors(h)
	moved := &MovedError{slow.ID, moveSlow}
	n.service.gate.Done(ticket, dispatch.OutcomeNone)
	n.recordFailure(slow, moved)
	if reason := n.stopReason(n.ctx, moved); reason != stopNone && !n.goBack(n.ctx, reason) {
		t.Fatalf("stops: %s", reason)
	}
	next, err := n.place(n.ctx, moved)
	if err != nil {
		t.Fatal(err)
	}
	n.service.gate.Done(next, dispatch.OutcomeOK)
	n.forgetLeft("request-ended")
	n.service.gate.SetSlowdowns(map[ids.UpstreamIncarnation]float64{slow.Incarnation(): 12})
	expectFree(t, n, other)
}

// Guards against a sound attempt that is ended for a successor which has not gone on after the caller's last event.
func TestSuccessorWithoutNextEventDoesNotTakeOver(t *testing.T) {
	for name, received := range map[string]string{
		"an event that the caller has": "id: 3\ndata: x\n\n",
		"a comment":                    ": ping\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			n := &run{service: &service{gaps: &completeness.Habit{}}}
			at := resumePoint{lastEvent: "5", begun: true}
			if err := n.checkFirstEvent(&successor{received: []byte(received), res: &httpclient.Response{}}, at); err == nil {
				t.Error("takes over")
			}
		})
	}
}

// Guards against a stream that goes back only after its caller has given up: the caller waits from its last event on, not from the move.
func TestStreamGoesBackWhileItsCallerWaits(t *testing.T) {
	slow, other := startStreaming(t, "slow", ""), startStreaming(t, "other", "")
	n := resumableRun(t, slow, other)
	placeAtSlow(t, n, slow)
	now := time.Now()
	patience := n.r.route.CallerTimeout()
	n.lastEventAt = now.Add(-patience / 2)
	h := newHandovers(n.ctx, func(error) {}, slow.ID, time.Second)
	h.request = dispatch.Request{Exclude: h.excluded()}
	if !n.leave(h, moveSlow, now) {
		t.Fatal("did not leave")
	}
	if gaveUp := n.lastEventAt.Add(patience); h.left.until.After(gaveUp) {
		t.Errorf("goes back %s after its caller has given up", h.left.until.Sub(gaveUp))
	}
}

// Guards against a group that is closed to requests because this gateway has given a successor up.
func TestGroupStaysOpenWhenSuccessorIsGivenUp(t *testing.T) {
	from, to := startStreaming(t, "from", ""), startStreaming(t, "to", "")
	n := resumableRun(t, from, to)
	watch, _ := newTestWatch(t, &fakeRanks{size: 2}, 2)
	n.service.group = watch
	n.stream.events, n.stream.lastEvent = 1, "1"
	h := newHandovers(n.ctx, func(error) {}, from.ID, 50*time.Millisecond)
	if !n.beginHandover(h, moveStalled, time.Now()) {
		t.Fatal("no handover")
	}
	for h.holding() == nil {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // the successor's header has come, its first event has not
	if err := h.beginWrite(n.ctx); err != nil {
		t.Fatal(err)
	}
	h.endWrite()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if !watch.lastFailureAt.IsZero() {
		t.Error("the group was closed although its ranks are sound")
	}
}

// Guards against retries that are requested from all gateways' share for streams that stay where they are because no upstream has room.
func TestStreamWithoutRoomElsewhereAsksForNoRetries(t *testing.T) {
	const ticks = 50
	slow := startStreaming(t, "slow", "")
	n := resumableRun(t, slow)
	placeAtSlow(t, n, slow)
	h := newHandovers(n.ctx, func(error) {}, slow.ID, time.Second)
	h.request = dispatch.Request{Exclude: h.excluded()}
	before := n.service.budget.Wanted(time.Now())
	for range ticks {
		if n.leave(h, moveSlow, time.Now()) {
			t.Fatal("left without a place")
		}
	}
	if wanted := n.service.budget.Wanted(time.Now()); wanted > before {
		t.Errorf("%d retries are requested, %d before; none was sent", wanted, before)
	}
}

// Guards against a stream that is broken off with seconds left, because the upstream to which it goes back permits no request for a moment.
func TestStreamWaitsForUpstreamToWhichItGoesBack(t *testing.T) {
	slow, other := startStreaming(t, "slow", ""), startStreaming(t, "other", "")
	n := resumableRun(t, slow, other)
	n.stream.events, n.lastEventAt = 1, time.Now()
	token, _ := n.service.budget.Take(time.Now())
	n.left = &leftPlace{upstream: slow, token: token, until: time.Now().Add(time.Second), back: true}
	n.service.gate.Rest(slow.Incarnation(), 50*time.Millisecond)
	if _, err := n.place(n.ctx, &RefusedError{Upstream: other.ID, Proof: notrun.Refused}); err != nil {
		t.Errorf("%s left: %v", time.Until(n.r.deadline).Round(time.Second), err)
	}
}

// Guards against a long body of a sound upstream that is given up although no other upstream has a place.
func TestLongBodyIsNotGivenUpWithoutPlaceElsewhere(t *testing.T) {
	only := startStreaming(t, "only", "")
	n := resumableRun(t, only)
	n.r.route, n.upstream = &catalog.Route{Kind: catalog.KindSafe, Attempts: 2}, only.ID
	n.service.longBodies = &completeness.Habit{}
	if n.asksElsewhere(t.Context(), bufferedBody{bytes: make([]byte, maxBufferedBytes+1)}) {
		t.Error("given up, though the service has one upstream")
	}
}

// Guards against a successor that reads the caller's request while the attempt does: fasthttp's header keeps what was read last.
func TestSuccessorAndAttemptDoNotShareRequestHeader(t *testing.T) {
	for range 30 {
		from, to := startStreaming(t, "from", "id: 1\ndata: x\n\n"), startStreaming(t, "to", "id: 2\ndata: x\n\n")
		n := resumableRun(t, from, to)
		n.x.Req.Header.Set("Connection", "x-a, x-b")
		ticket, ok := n.service.gate.PlaceAt(dispatch.Request{}, from.Incarnation())
		if !ok {
			t.Fatal("no place")
		}
		h := newHandovers(n.ctx, func(error) {}, from.ID, time.Second)
		n.beginHandover(h, moveEvacuated, time.Now())
		if res, err := n.send(n.ctx, ticket, sendInput{placedAt: time.Now(), elsewhere: true}); err == nil {
			res.Release(false)
		}
		if s := h.end(false); s != nil {
			t.Fatal("not given up")
		}
	}
}

// Guards against a stream that is ended as complete although its upstream broke off: all that tells of its end is an attempt that sent nothing.
func TestEmptyResponseDoesNotEndStreamThatBrokeOff(t *testing.T) {
	first, second := startStreaming(t, "first", ""), startStreaming(t, "second", "")
	n := resumableRun(t, first, second)
	n.stream.lastEvent, n.stream.events, n.stream.attemptEvents = "5", 5, 5
	n.upstream = first.ID
	n.recordFailure(first, &httpclient.BrokenError{Address: first.Address, Stage: "read events from", Cause: io.ErrUnexpectedEOF})
	n.stream.attemptEvents, n.upstream = 0, second.ID
	err := n.checkStreamEnd(t.Context(), second, 0)
	n.recordFailure(second, err)
	if reason := n.stopReason(n.ctx, err); err == nil || reason == stopNone || n.endStands(reason) {
		t.Errorf("ends after event %s: %v, %s", n.stream.lastEvent, err, reason)
	}
}

// Guards against an answer that is broken off at once because its header was sent and its first event was not: it counts as one whose
// caller has waited since the zero time.
func TestAnswerWithoutEventMayBePlacedAgain(t *testing.T) {
	n := resumableRun(t, startStreaming(t, "u", ""))
	if latest := n.dispatchRequest(true).Deadline; latest.Before(time.Now()) {
		t.Errorf("must start by %s", latest)
	}
}

// Guards against a whole stream that is broken off because this gateway could not connect to its upstream in time: that does not tell that
// the upstream has ended, as a refused connection does.
func TestStreamEndStandsIfConfirmationTimesOut(t *testing.T) {
	u := startStreaming(t, "u", "")
	n := resumableRun(t, u)
	n.g.client = httpclient.New(httpclient.Options{DialTimeout: time.Nanosecond})
	n.stream.lastEvent, n.stream.events, n.stream.attemptEvents = "5", 5, 5
	n.sent, n.upstream = 1, u.ID
	n.stream.untilClose = true
	if err := n.checkStreamEnd(t.Context(), u, 100); err != nil {
		t.Errorf("broken off: %v", err)
	}
}
