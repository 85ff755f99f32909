package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// handoverOf returns the handovers of an attempt, and the context that ends with it.
func handoverOf(t *testing.T, holdLimit time.Duration) (*handovers, context.Context) {
	ctx, cancel := context.WithCancelCause(t.Context())
	t.Cleanup(func() { cancel(nil) })
	return newHandovers(t.Context(), cancel, "a", holdLimit), ctx
}

func beginOne(t *testing.T, h *handovers) *handover {
	t.Helper()
	p, _, ok := h.begin(moveSlow, time.Now())
	if !ok {
		t.Fatal("no handover may begin")
	}
	return p
}

// Guards against an attempt that is given up for a successor that does not come about.
func TestAttemptGoesOnWithoutSuccessor(t *testing.T) {
	h, ctx := handoverOf(t, time.Minute)
	p := beginOne(t, h)
	h.hold(p, func() {})
	go h.decide(p, nil, time.Now())
	if err := h.beginWrite(ctx); err != nil {
		t.Fatal(err)
	}
	h.endWrite()
	if ctx.Err() != nil || !h.complete() {
		t.Error("the attempt was given up")
	}
}

// Guards against an event that comes twice: from the attempt and from the successor that was told to go on before it.
func TestAttemptHoldsEventsBackOnceSuccessorIsAsked(t *testing.T) {
	h, ctx := handoverOf(t, time.Minute)
	p := beginOne(t, h)
	h.hold(p, func() {})
	written := make(chan error)
	go func() { written <- h.beginWrite(ctx) }()
	select {
	case err := <-written:
		t.Fatalf("wrote while the handover was undecided: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	h.decide(p, &successor{}, time.Now())
	if err := <-written; !errors.As(err, new(*MovedError)) {
		t.Errorf("got %v, want *MovedError", err)
	}
	if h.complete() || !errors.As(context.Cause(ctx), new(*MovedError)) {
		t.Error("the attempt goes on beside its successor")
	}
}

// Guards against a caller that waits for a successor that does not answer, while the attempt has its next event.
func TestHeldEventsAreRelayedAfterLimit(t *testing.T) {
	h, ctx := handoverOf(t, time.Millisecond)
	p, successorCtx, _ := h.begin(moveSlow, time.Now())
	h.hold(p, func() {})
	go func() {
		<-successorCtx.Done()
		h.decide(p, nil, time.Now())
	}()
	if err := h.beginWrite(ctx); err != nil {
		t.Fatal(err)
	}
	h.endWrite()
}

// Guards against a successor that is sent although the answer is complete, or a caller that waits for it.
func TestCompleteAnswerNeedsNoSuccessor(t *testing.T) {
	h, _ := handoverOf(t, time.Minute)
	p, successorCtx, _ := h.begin(moveSlow, time.Now())
	if !h.complete() {
		t.Fatal("not complete")
	}
	if successorCtx.Err() == nil {
		t.Error("the successor goes on")
	}
	if h.decide(p, &successor{}, time.Now()) {
		t.Error("the successor takes over a complete answer")
	}
	if _, _, ok := h.begin(moveSlow, time.Now()); ok {
		t.Error("another handover begins")
	}
}

// Guards against an answer that is broken off because its upstream fails while its successor is about to take over.
func TestSuccessorOfFailedAttemptIsAwaited(t *testing.T) {
	h, _ := handoverOf(t, time.Minute)
	p := beginOne(t, h)
	s := &successor{}
	go h.decide(p, s, time.Now())
	if got := h.end(true); got != s {
		t.Errorf("got %v, want the successor", got)
	}
}

// Guards against a request that is sent to one upstream after the other for a move that is of little use.
func TestHandoversAreBounded(t *testing.T) {
	h, _ := handoverOf(t, time.Minute)
	refused := &RefusedError{Proof: notrun.Refused}
	for range maxHandoverTries {
		p := beginOne(t, h)
		if _, _, ok := h.begin(moveSlow, time.Now()); ok {
			t.Fatal("two handovers at a time")
		}
		h.failed(&catalog.Upstream{ID: "b"}, refused)
		h.decide(p, nil, time.Now().Add(-handoverPause))
	}
	if _, _, ok := h.begin(moveSlow, time.Now()); ok {
		t.Error("another handover begins")
	}
}

// Guards against a request that runs on more upstreams than its route allows.
func TestNoHandoverAfterSuccessorThatMayHaveRun(t *testing.T) {
	h, _ := handoverOf(t, time.Minute)
	p := beginOne(t, h)
	h.failed(&catalog.Upstream{ID: "b"}, errors.New("connection broke"))
	h.decide(p, nil, time.Now().Add(-handoverPause))
	if _, _, ok := h.begin(moveSlow, time.Now()); ok {
		t.Error("another handover begins")
	}
}
