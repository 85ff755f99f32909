package httpserver

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/gnetstop"
)

const (
	// LastWords is how long before the deadline of a drain running requests are told to end, so that their callers still get an answer.
	LastWords = 250 * time.Millisecond
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
	// Told counts the requests that were told to end, Running those that still run, Unsent the connections with bytes of answers that their
	// callers have not taken.
	Told, Running, Unsent int
	Cause                 error
}

// Error implements error.
func (e *DrainError) Error() string {
	return fmt.Sprintf("drain: %d requests told to end, %d still running, %d answers not delivered: %v", e.Told, e.Running, e.Unsent, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

// Drain ends the work of the server without losing an answer: every request that was read is answered, every answer is sent to its last
// byte and acknowledged, and connections are closed after it. Idle connections are closed. New requests still reach the handler, which is to refuse them,
// until no request runs; from then on, new connections are closed before anything is read from them. Drain returns when no connection
// is left, so that nothing is lost by Stop.
//
// Shortly before the deadline of ctx the contexts of requests that still run are cancelled with *StoppingError. Errors: *DrainError, if
// requests were told to end or the deadline has passed.
func (s *Server) Drain(ctx context.Context) error {
	s.closing.Store(true)
	words, cancel := s.lastWordsOf(ctx)
	defer cancel()
	told := 0
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	var swept time.Time
	for {
		if s.busy.Load() == 0 {
			s.stopping.Store(true)
		}
		if s.stopping.Load() && s.connCount.Load() == 0 {
			return drained(told, words.Err())
		}
		if now := time.Now(); now.Sub(swept) >= drainSweepInterval {
			swept = now
			s.sweep()
		}
		select {
		case <-ctx.Done():
			return &DrainError{Told: told, Running: s.Busy(), Unsent: s.unsentAnswers(), Cause: ctx.Err()}
		case <-words.Done():
			if told == 0 {
				told = s.tellRunning()
			}
		case <-ticker.C:
			continue
		}
		<-ticker.C
	}
}

// lastWordsOf returns a context that is done LastWords before ctx.
func (s *Server) lastWordsOf(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-LastWords))
}

func drained(told int, cause error) error {
	if told == 0 {
		return nil
	}
	return &DrainError{Told: told, Cause: cause}
}

// tellRunning cancels the contexts of all running requests, refuses those that are incomplete, and returns the number of running ones.
func (s *Server) tellRunning() int {
	told := 0
	s.told.Store(true)
	s.conns.Range(func(key, _ any) bool {
		if key.(*conn).cancelRequest(&StoppingError{}) {
			told++
		}
		return true
	})
	return told
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
	if err := gnetstop.Stop(ctx, s.eng, s.ended); err != nil {
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
