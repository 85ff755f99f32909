package dispatch_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// begunRequest is a request whose caller got the latest part of its answer just before now, and waits two seconds for the next one.
func begunRequest(now time.Time) dispatch.Request {
	r := timedRequest(now.Add(-3 * time.Second))
	r.Deadline, r.EndsBy = now.Add(2*time.Second), now.Add(5*time.Second)
	r.Begun, r.MayHaveRun = true, true
	return r
}

// fullPool returns a pool without a free slot at which some requests wait and few finish.
func fullPool() *dispatch.Pool {
	p := newPool(1, 2)
	p.Done(p.Submit(timedRequest(at(0)), at(0)), dispatch.OutcomeOK, at(0)) // a known, low rate
	for range 6 {
		p.Submit(timedRequest(at(0)), at(0))
	}
	return p
}

// Guards against an answer that is broken off, with seconds left, by an estimate of how long its next attempt would wait.
func TestBegunAnswerIsNotRefusedByEstimate(t *testing.T) {
	p := fullPool()
	ticket := p.Submit(begunRequest(at(100*time.Millisecond)), at(100*time.Millisecond))
	if ticket.Err() != nil {
		t.Fatalf("refused: %v", ticket.Err())
	}
	p.Shed(at(100 * time.Millisecond))
	if ticket.Err() != nil {
		t.Fatalf("shed: %v", ticket.Err())
	}
	for _, decided := range p.Tick(at(2100 * time.Millisecond)) {
		if decided == ticket && ticket.Err() != nil {
			return
		}
	}
	t.Error("waits beyond the time at which its caller gives up")
}

// Guards against a stream that takes a place for which requests wait, in order to leave one that works.
func TestTryPlaceTakesNoPlaceForWhichOthersWait(t *testing.T) {
	p := fullPool()
	if _, ok := p.TryPlace(begunRequest(at(time.Second)), at(time.Second)); ok {
		t.Error("placed beside waiting requests")
	}
	p = newPool(1, 1)
	running := p.Submit(timedRequest(at(0)), at(0))
	if _, ok := p.TryPlace(begunRequest(at(0)), at(0)); ok {
		t.Error("placed at a full upstream")
	}
	p.Done(running, dispatch.OutcomeOK, at(0))
	if _, ok := p.TryPlace(begunRequest(at(0)), at(0)); !ok {
		t.Error("not placed at an idle upstream")
	}
}
