package httpserver

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/gnetstop"
)

const (
	// CancelLead is how long before the deadline of a drain the contexts of running requests are cancelled, so that their callers still get an
	// answer.
	CancelLead = 250 * time.Millisecond
	// drainPollInterval is how often a drain looks for the end of the last connection, drainSweepInterval how often it has the event loops
	// look at connections that wait for their callers.
	drainPollInterval  = 10 * time.Millisecond
	drainSweepInterval = 50 * time.Millisecond
	// drainReadTimeout replaces a longer read timeout in a drain: a request that is still incomplete then is refused.
	drainReadTimeout = time.Second
)

// StoppingError is the cause with which a request's context is cancelled because the server stops before the request has ended.
type StoppingError struct{}

// Error implements error.
func (e *StoppingError) Error() string { return "the server stops" }

// DrainError reports that a drain ended before all answers had left.
type DrainError struct {
	// Cancelled counts the requests whose contexts were cancelled, Running those that still run, Unsent the connections with bytes of answers
	// that their callers have not taken.
	Cancelled, Running, Unsent int
	Cause                      error
}

// Error implements error.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain: %d requests cancelled, %d still running, %d answers not delivered: %v", e.Cancelled, e.Running, e.Unsent, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

// Drain ends the work of the server without losing an answer: every request that was read is answered, every answer is sent to its last
// byte and acknowledged, and connections are closed after it. Idle connections are closed. New requests still reach the handler, which
// is to refuse them, until no request runs; from then on, new connections are closed before anything is read from them. Drain returns
// when no connection is left, so that nothing is lost by Stop.
//
// CancelLead before the deadline of ctx the contexts of requests that still run are cancelled with *StoppingError. Errors: *DrainError, if
// requests were cancelled or the deadline has passed.
func (s *Server) Drain(ctx context.Context) error {
	s.closing.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	cancelled, swept := 0, time.Time{}
	for !s.drained() {
		now := time.Now()
		if now.Sub(swept) >= drainSweepInterval {
			swept = now
			s.sweep()
		}
		if cancelled == 0 && mustCancel(ctx, now) {
			cancelled = s.cancelRunning()
		}
		select {
		case <-ctx.Done():
			return &DrainError{Cancelled: cancelled, Running: s.Busy(), Unsent: s.unsentAnswers(), Cause: ctx.Err()}
		case <-ticker.C:
		}
	}
	if cancelled > 0 {
		return &DrainError{Cancelled: cancelled, Cause: context.DeadlineExceeded}
	}
	return nil
}

// drained reports whether no connection is left. Once no request runs, the server accepts none.
func (s *Server) drained() bool {
	if s.busy.Load() == 0 {
		s.stopping.Store(true)
	}
	return s.stopping.Load() && s.connCount.Load() == 0
}

func mustCancel(ctx context.Context, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ok && !now.Before(deadline.Add(-CancelLead))
}

// cancelRunning cancels the contexts of all running requests, refuses those that are incomplete, and returns the number of running ones.
func (s *Server) cancelRunning() int {
	cancelled := 0
	s.cancelling.Store(true)
	s.conns.Range(func(key, _ any) bool {
		if key.(*conn).cancelRequest(&StoppingError{}) {
			cancelled++
		}
		return true
	})
	return cancelled
}

// unsentAnswers counts the connections with bytes that the socket has not accepted.
func (s *Server) unsentAnswers() int {
	n := 0
	s.conns.Range(func(key, _ any) bool {
		if c := key.(*conn); c.unread.Load()+int64(c.out.size()) > 0 {
			n++
		}
		return true
	})
	return n
}

// sweep has the event loops close the connections that are idle or whose answers have left, and refuse requests that are incomplete.
func (s *Server) sweep() {
	s.conns.Range(func(key, _ any) bool {
		if c := key.(*conn); !c.running.Load() || c.ending.Load() {
			_ = c.gc.Wake(nil)
		}
		return true
	})
}

// Stop closes the listener and every connection. Call Drain first, unless requests in progress may be lost.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	if err := gnetstop.Stop(ctx, s.engine(), s.ended); err != nil {
		return fmt.Errorf("stop listener: %w", err)
	}
	return nil
}

// incompleteError returns the refusal of a request that did not arrive in time.
func (s *Server) incompleteError() error {
	if s.closing.Load() {
		return failure.New(failure.CodeStopping, nil)
	}
	e := failure.New(failure.CodeMalformed, nil)
	e.Field = "request not complete within the read timeout"
	return e
}
