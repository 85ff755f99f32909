package retry

import "fmt"

// StaleAttemptError reports that tokens or an end came from an attempt that is no longer current, or after the end of
// the response. They must be dropped and the connection closed.
type StaleAttemptError struct{ Got, Current int }

// Error implements error.
func (e *StaleAttemptError) Error() string {
	return fmt.Sprintf("data of attempt %d while attempt %d is current", e.Got, e.Current)
}

// GapError reports that an upstream skipped tokens; the attempt has failed.
type GapError struct{ Want, Got int }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("got token %d, want token %d", e.Got, e.Want)
}

// IncompleteError reports that the number of tokens at the end of a response differs from the number delivered.
type IncompleteError struct{ Delivered, Total int }

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("response ended with %d of %d tokens", e.Delivered, e.Total)
}

// Stream tracks one streamed response over its attempts. Tokens are numbered from 0 over the whole response. It is not
// safe for concurrent use; the goroutine of the request owns it.
type Stream struct {
	attempt   int
	delivered int
	ended     bool
}

// Begin starts an attempt and returns its number and the token it must continue with.
func (s *Stream) Begin() (attempt, from int) {
	s.attempt++
	return s.attempt, s.delivered
}

// Delivered returns how many tokens the caller has.
func (s *Stream) Delivered() int { return s.delivered }

// Accept records count tokens of an attempt, starting with token number first. It returns how many of them the caller
// already has; these must be skipped and the others delivered. Errors: *StaleAttemptError, *GapError; no tokens must be
// delivered then.
func (s *Stream) Accept(attempt, first, count int) (skip int, err error) {
	if attempt != s.attempt || s.ended {
		return 0, &StaleAttemptError{attempt, s.attempt}
	}
	if first > s.delivered {
		return 0, &GapError{s.delivered, first}
	}
	skip = min(count, s.delivered-first)
	s.delivered += count - skip
	return skip, nil
}

// End records the end of the response; total is the number of all its tokens. Errors: *StaleAttemptError,
// *IncompleteError.
func (s *Stream) End(attempt, total int) error {
	if attempt != s.attempt || s.ended {
		return &StaleAttemptError{attempt, s.attempt}
	}
	if total != s.delivered {
		return &IncompleteError{s.delivered, total}
	}
	s.ended = true
	return nil
}
