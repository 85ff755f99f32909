package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// moveSlowdown is from when on streams are moved away from a slow rank. Below it what they have left there takes about as long
// as waiting for a slot elsewhere and having their prompts read again.
const moveSlowdown = 3

// MovedError says that a stream was taken away from an upstream that is several times slower than usual.
type MovedError struct{ Upstream ids.Upstream }

// Error implements error.
func (e *MovedError) Error() string {
	return fmt.Sprintf("%s is slow, the stream goes on elsewhere", e.Upstream)
}

// moves are the attempts at ranks from which the stream may be taken away, by upstream's life. It is safe for concurrent use.
//
// Each pass of a group waits for its slowest rank, so that a rank at a small part of its pace makes the streams of all ranks
// late for as long as it has any. Moved, they go on after their last event.
type moves struct {
	mu      sync.Mutex
	running map[ids.UpstreamIncarnation]map[*run]context.CancelCauseFunc
}

func newMoves() *moves {
	return &moves{running: map[ids.UpstreamIncarnation]map[*run]context.CancelCauseFunc{}}
}

func (m *moves) add(u ids.UpstreamIncarnation, n *run, cancel context.CancelCauseFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[u] == nil {
		m.running[u] = map[*run]context.CancelCauseFunc{}
	}
	m.running[u][n] = cancel
}

func (m *moves) remove(u ids.UpstreamIncarnation, n *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running[u], n)
	if len(m.running[u]) == 0 {
		delete(m.running, u)
	}
}

// moveStreams takes the streams from ranks that are slow, as long as the retry budget of their service has room: one that could
// not be sent again must stay.
func (m *moves) moveStreams(slowdowns map[ids.UpstreamIncarnation]float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for u, slowdown := range slowdowns {
		if slowdown < moveSlowdown {
			continue
		}
		for n, cancel := range m.running[u] {
			if !n.service.budget.Allow(now) {
				return
			}
			delete(m.running[u], n)
			cancel(&MovedError{u.Upstream})
		}
	}
}

// mayMove reports whether the stream may be taken away from the upstream that it gets now: it can go on after its last
// event, and one more attempt is left for that.
func (n *run) mayMove() bool {
	return n.service.group != nil && n.r.route.Resumable && n.sent+1 < n.r.route.Attempts
}

// movableAttempt is attempt, during which the stream may be taken away. Errors: *MovedError beside those of attempt.
func (n *run) movableAttempt(ctx context.Context, t *dispatch.Ticket) error {
	if !n.mayMove() {
		return n.attempt(ctx, t)
	}
	u := t.Upstream().Incarnation()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	n.g.moves.add(u, n, cancel)
	err := n.attempt(ctx, t)
	n.g.moves.remove(u, n)
	var moved *MovedError
	if err != nil && errors.As(context.Cause(ctx), &moved) {
		return moved
	}
	return err
}
