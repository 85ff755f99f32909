package retry

import "fmt"

// StaleAttemptError says that a part of an answer came from an attempt that was given up. It must be dropped and its
// connection closed.
type StaleAttemptError struct{ Got, Current int }

// Error implements error.
func (e *StaleAttemptError) Error() string {
	return fmt.Sprintf("part of attempt %d while attempt %d is current", e.Got, e.Current)
}

// GapError says that an upstream skipped tokens; the attempt has failed.
type GapError struct{ Want, Got int }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("token %d follows, but token %d is next", e.Got, e.Want)
}

// IncompleteError says that an upstream ended an answer before all of its tokens were delivered.
type IncompleteError struct{ Delivered, Total int }

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("answer ended with %d of %d tokens", e.Delivered, e.Total)
}

// Stream keeps the books of one streamed answer over its attempts. Tokens are numbered from 0 over the whole answer.
// It belongs to the goroutine that owns the request.
type Stream struct {
	attempt   int
	delivered int
	ended     bool
}

// Begin starts an attempt and returns its number and the token it must go on with.
func (s *Stream) Begin() (attempt, from int) {
	s.attempt++
	return s.attempt, s.delivered
}

// Delivered returns how many tokens the caller has.
func (s *Stream) Delivered() int { return s.delivered }

// Accept takes in count tokens, the first of which has the given number, and returns how many of them at the front
// must be skipped because the caller has them already. The rest is to be delivered. Errors: *StaleAttemptError,
// *GapError; nothing is to be delivered then.
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

// End takes in the end of the answer, of which total is the number of all its tokens. Errors: *StaleAttemptError,
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
