package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// handoverPause is how long after a handover that came to nothing the next one may begin.
	handoverPause = 250 * time.Millisecond
	// maxHandoverTries is how many successors of one attempt may be sent the request.
	maxHandoverTries = 2
)

// handovers passes the attempt at a stream on to another upstream. The attempt is given up only once its successor has
// answered: a successor that finds no place, is refused or fails changes nothing for the caller. Streams on a very slow rank cannot wait
// for that (move.go).
//
// The attempt's goroutine relays events between beginWrite and endWrite. A successor is asked to go on after the last of them, so from
// then on the attempt holds its events back until the handover is decided.
type handovers struct {
	// ctx is the context of the request; cancelAttempt ends the attempt.
	ctx           context.Context
	cancelAttempt context.CancelCauseFunc
	// from is the upstream of the attempt.
	from ids.Upstream
	// holdLimit is how long the attempt holds an event back.
	holdLimit time.Duration
	// relay is locked while the attempt's goroutine writes to the caller, and while a successor begins to hold it back.
	relay sync.Mutex

	mu    sync.Mutex
	state attemptState
	// pending is the handover in progress, or the one that has brought a successor; nil if there is none.
	pending *handover
	// failures are the successors that were sent the request and failed.
	failures []failedSuccessor
	// resumeAt is when the next handover may begin.
	resumeAt time.Time
	// request describes the attempt for the service's pool.
	request dispatch.Request
	// left is the place that the stream has left; nil if it has not.
	left *leftPlace
	// unplacedLogged is set once it was logged that no upstream has a place.
	unplacedLogged bool
}

// attemptState says whether an attempt may be passed on.
type attemptState int

const (
	// attemptRuns: a successor may take over from the attempt.
	attemptRuns attemptState = iota
	// attemptFailed: the attempt has failed, and the successor that is on its way is wanted.
	attemptFailed
	// attemptLeft: the attempt was given up for a place elsewhere.
	attemptLeft
	// attemptComplete: the caller has the answer, or needs none any more.
	attemptComplete
)

// handover is the passing of an attempt to one successor.
type handover struct {
	reason moveReason
	// cancel gives the successor up; givenUp is set once that was done.
	cancel  context.CancelFunc
	givenUp bool
	// holds is set once the successor has been told after which event it goes on.
	holds bool
	// decided is closed once successor is final: nil if the attempt goes on.
	decided   chan struct{}
	successor *successor
}

func newHandovers(ctx context.Context, cancelAttempt context.CancelCauseFunc, from ids.Upstream, holdLimit time.Duration) *handovers {
	return &handovers{ctx: ctx, cancelAttempt: cancelAttempt, from: from, holdLimit: holdLimit}
}

// begin returns a handover that begins now, with its context; false if none may begin.
func (h *handovers) begin(reason moveReason, now time.Time) (*handover, context.Context, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != attemptRuns || h.pending != nil || len(h.failures) >= maxHandoverTries || h.mayHaveRun() || now.Before(h.resumeAt) {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancel(h.ctx)
	h.pending = &handover{reason: reason, cancel: cancel, decided: make(chan struct{})}
	return h.pending, ctx, true
}

// leave gives the attempt up for a place elsewhere, and reports whether it did.
func (h *handovers) leave(reason moveReason, left *leftPlace) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state != attemptRuns || h.pending != nil || len(h.failures) > 0 {
		return false
	}
	h.state, h.left = attemptLeft, left
	h.cancelAttempt(&MovedError{h.from, reason})
	return true
}

// leftFor returns the place for which the attempt was given up; nil if it was not.
func (h *handovers) leftFor() *leftPlace {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.left
}

// beginWrite waits until no handover holds the events of the attempt back. It returns *MovedError if a successor has taken over, or the
// error of ctx. After nil, endWrite must be called.
func (h *handovers) beginWrite(ctx context.Context) error {
	if h == nil {
		return nil
	}
	for {
		h.relay.Lock()
		p := h.holding()
		if p == nil {
			return nil
		}
		h.relay.Unlock()
		if err := h.await(ctx, p); err != nil {
			return err
		}
	}
}

// endWrite ends what beginWrite began.
func (h *handovers) endWrite() {
	if h != nil {
		h.relay.Unlock()
	}
}

// holding returns the handover that holds the events back; nil if none does.
func (h *handovers) holding() *handover {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == nil || !h.pending.holds {
		return nil
	}
	return h.pending
}

// await waits until a handover is decided, and gives it up if that takes longer than holdLimit.
func (h *handovers) await(ctx context.Context, p *handover) error {
	limit := time.NewTimer(h.holdLimit)
	defer limit.Stop()
	select {
	case <-p.decided:
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-limit.C:
		h.giveUp(p)
		<-p.decided
	}
	if p.successor != nil {
		return &MovedError{h.from, p.reason}
	}
	return nil
}

// giveUp gives a successor up that has not answered in time.
func (h *handovers) giveUp(p *handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.givenUp = p.successor == nil
	if p.givenUp {
		p.cancel()
	}
}

// hold makes the attempt hold its events back. While f runs, nothing is written to the caller.
func (h *handovers) hold(p *handover, f func()) {
	h.relay.Lock()
	defer h.relay.Unlock()
	h.mu.Lock()
	p.holds = true
	h.mu.Unlock()
	f()
}

// decide ends a handover with its successor, nil if it has brought none, and reports whether the successor takes over.
func (h *handovers) decide(p *handover, s *successor, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(p.decided)
	if s == nil || p.givenUp || h.state == attemptComplete {
		p.cancel()
		h.pending, h.resumeAt = nil, now.Add(handoverPause)
		return false
	}
	p.successor = s
	h.cancelAttempt(&MovedError{h.from, p.reason})
	return true
}

// complete records that the attempt's answer is complete, and reports whether that is so: false if a successor has taken over.
func (h *handovers) complete() bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending != nil && h.pending.successor != nil {
		return false
	}
	h.state = attemptComplete
	if h.pending != nil {
		h.pending.cancel()
	}
	return true
}

// end records that the attempt has ended, waits for the handover in progress, and returns its successor; nil if there is none. If the
// successor is not wanted, it is given up.
func (h *handovers) end(wanted bool) *successor {
	h.mu.Lock()
	p := h.pending
	h.state = attemptComplete
	if wanted {
		h.state = attemptFailed
	}
	h.mu.Unlock()
	if p == nil {
		return nil
	}
	if !wanted {
		p.cancel()
	}
	<-p.decided
	if p.successor != nil && !wanted {
		p.successor.discard()
		return nil
	}
	return p.successor
}

// failedSuccessor is a successor that was sent the request and failed with err.
type failedSuccessor struct {
	upstream *catalog.Upstream
	err      error
}

// mayHaveRun reports whether the successor may have run the request.
func (f failedSuccessor) mayHaveRun() bool { return proofOf(f.err) == notrun.None }

// mayHaveRun reports whether a failed successor may have run the request. The caller holds the lock.
func (h *handovers) mayHaveRun() bool {
	return slices.ContainsFunc(h.failures, failedSuccessor.mayHaveRun)
}

// failed records that a successor was sent the request and failed.
func (h *handovers) failed(u *catalog.Upstream, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, failedSuccessor{u, err})
}

// excluded returns the upstreams that no successor may have.
func (h *handovers) excluded() []ids.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := []ids.Upstream{h.from}
	for _, f := range h.failures {
		out = append(out, f.upstream.ID)
	}
	return out
}

// firstUnplaced reports whether it is the first time that no upstream has a place for a successor.
func (h *handovers) firstUnplaced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := !h.unplacedLogged
	h.unplacedLogged = true
	return first
}
