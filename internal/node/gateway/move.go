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

// moveReason is why streams are moved away from an upstream.
type moveReason string

const (
	// moveSlow: the upstream is several times slower than normal.
	moveSlow moveReason = "slow"
	// moveEvacuated: the upstream's data centre is evacuated.
	moveEvacuated moveReason = "in an evacuated data centre"
)

// MovedError reports that a stream was moved away from an upstream.
type MovedError struct {
	Upstream ids.Upstream
	Reason   moveReason
}

// Error implements error.
func (e *MovedError) Error() string {
	return fmt.Sprintf("%s is %s, moving the stream to another upstream", e.Upstream, e.Reason)
}

// moves holds the running attempts whose stream may be moved, by upstream incarnation. It is safe for concurrent use.
//
// Each pass of a group waits for its slowest rank, so one very slow rank delays the streams of all ranks as long as it
// runs any. A moved stream resumes on another upstream after its last event.
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

// moveStreams moves the streams away from slow ranks.
func (m *moves) moveStreams(slowdowns map[ids.UpstreamIncarnation]float64, now time.Time) {
	for u, slowdown := range slowdowns {
		if slowdown >= moveSlowdown {
			m.moveFrom(u, moveSlow, math.MaxInt, now)
		}
	}
}

// moveFrom cancels streams at an upstream, at most the given number and while the retry budget of their service allows it; a
// stream that could not be sent again must stay. It returns the number of cancelled streams.
func (m *moves) moveFrom(u ids.UpstreamIncarnation, reason moveReason, limit int, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	moved := 0
	for n, cancel := range m.running[u] {
		if moved >= limit {
			break
		}
		t, ok := n.service.budget.Take(now)
		if !ok {
			n.service.grants.request(now)
			continue
		}
		n.token = &t
		delete(m.running[u], n)
		cancel(&MovedError{u.Upstream, reason})
		moved++
	}
	return moved
}

// mayMove reports whether the stream of the next attempt may be moved: the upstreams are ranks of a group or may be
// evacuated, the stream can resume after its last event, and one more attempt is left for that.
func (n *run) mayMove() bool {
	return (n.service.group != nil || n.service.evacuable.Load()) && n.r.route.Resumable && n.sent+1 < n.r.route.Attempts
}

// movableAttempt runs an attempt during which the stream may be moved. It returns *MovedError or the errors of attempt.
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
	if err != nil && !isUnwritten(err) && errors.As(context.Cause(ctx), &moved) {
		return moved
	}
	n.returnToken()
	return err
}
