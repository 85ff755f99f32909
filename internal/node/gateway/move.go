package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// moveSlowdown is the slowdown factor from which streams are moved away from a rank. Below it the rest of a stream
// takes about as long on the slow rank as waiting for a slot elsewhere and processing the prompt again.
const moveSlowdown = 3

// moveReason is why a stream is handed over to another upstream.
type moveReason string

const (
	// moveSlow: the upstream is several times slower than normal.
	moveSlow moveReason = "slow"
	// moveEvacuated: the upstream's data centre is evacuated.
	moveEvacuated moveReason = "in an evacuated data centre"
	// moveStalled: the rest of an event takes long.
	moveStalled moveReason = "in the middle of an event for too long"
)

// MovedError reports that a stream was moved away from an upstream.
type MovedError struct {
	Upstream ids.Upstream
	Reason   moveReason
}

// Error implements error.
func (e *MovedError) Error() string {
	return fmt.Sprintf("%s is %s, another upstream has taken the stream over", e.Upstream, e.Reason)
}

// moves holds the running attempts whose stream may be moved, by upstream incarnation. It is safe for concurrent use.
//
// Each pass of a group waits for its slowest rank, so one very slow rank delays the streams of all ranks as long as it
// runs any, also those that another rank begins meanwhile. So a stream leaves a slow rank as soon as it has a place at
// another one, and goes back if nobody there goes on with it (leftplace.go). A stream that need not hurry is handed over (handover.go).
type moves struct {
	// begin begins to move a stream, and reports whether it did.
	begin   func(n *run, h *handovers, reason moveReason, now time.Time) bool
	mu      sync.Mutex
	running map[ids.UpstreamIncarnation]map[*run]*handovers
}

func newMoves() *moves {
	return &moves{begin: (*run).beginMove, running: map[ids.UpstreamIncarnation]map[*run]*handovers{}}
}

func (m *moves) add(u ids.UpstreamIncarnation, n *run, h *handovers) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[u] == nil {
		m.running[u] = map[*run]*handovers{}
	}
	m.running[u][n] = h
}

func (m *moves) remove(u ids.UpstreamIncarnation, n *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running[u], n)
	if len(m.running[u]) == 0 {
		delete(m.running, u)
	}
}

// moveStreams begins to move the streams away from slow ranks.
func (m *moves) moveStreams(slowdowns map[ids.UpstreamIncarnation]float64, now time.Time) {
	for u, slowdown := range slowdowns {
		if slowdown >= moveSlowdown {
			m.moveFrom(u, moveSlow, math.MaxInt, now)
		}
	}
}

// moveFrom begins to move streams away from an upstream, at most the given number, and returns how many it began to move.
func (m *moves) moveFrom(u ids.UpstreamIncarnation, reason moveReason, limit int, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	begun := 0
	for n, h := range m.running[u] {
		if begun >= limit {
			break
		}
		if m.begin(n, h, reason, now) {
			begun++
		}
	}
	return begun
}

// beginMove begins to move a stream, and reports whether it did. A stream may go back to a slow rank, but not to an evacuated one.
func (n *run) beginMove(h *handovers, reason moveReason, now time.Time) bool {
	if reason == moveSlow {
		return n.leave(h, reason, now)
	}
	return n.beginHandover(h, reason, now)
}

// mayMove reports whether the stream of the next attempt may be moved: the upstreams are ranks of a group or may be evacuated.
func (n *run) mayMove() bool {
	return (n.service.group != nil || n.service.evacuable.Load()) && n.mayHandOver()
}

// mayHandOver reports whether another upstream may go on with the stream of the next attempt: the stream can resume after its last
// event, and one more attempt is left for that.
func (n *run) mayHandOver() bool {
	return n.r.route.Resumable && n.sent+1 < n.r.route.Attempts && n.trial == nil
}

// holdShare is the part of the time for which the caller waits, for an event or at all, for which an attempt holds an event back.
const holdShare = 0.25

// holdLimit returns for how long an attempt that begins now holds an event back while a successor is asked for it.
func (n *run) holdLimit(now time.Time) time.Duration {
	return time.Duration(holdShare * float64(min(n.r.route.CallerTimeout(), n.r.deadline.Sub(now))))
}

// movableAttempt runs an attempt that may be handed over to another upstream. If it is, n.successor is set.
func (n *run) movableAttempt(ctx context.Context, t *dispatch.Ticket) error {
	if !n.mayHandOver() {
		return n.attempt(ctx, t)
	}
	u := t.Upstream().Incarnation()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := newHandovers(n.ctx, cancel, u.Upstream, n.holdLimit(time.Now()))
	n.handovers = h
	if n.mayMove() {
		h.request = n.dispatchRequest(n.x.Responded())
		h.request.Exclude = append(h.excluded(), h.request.Exclude...)
		n.g.moves.add(u, n, h)
		defer n.g.moves.remove(u, n)
	}
	err := n.attempt(attemptCtx, t)
	n.successor = h.end(awaitsSuccessor(ctx, err))
	n.recordLeft(t.Upstream(), h)
	n.handovers = nil
	n.recordFailedSuccessors(h)
	var moved *MovedError
	if err != nil && !isUnwritten(err) && errors.As(context.Cause(attemptCtx), &moved) {
		return moved
	}
	return err
}
