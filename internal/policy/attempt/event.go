package attempt

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Event is one token of a model's answer, or its end.
type Event = cardamomyokev1.AttemptEvent

// ContentType is that of a stream of events.
const ContentType = "application/vnd.cardamomyoke.attempt"

// maxEventBytes bounds one event on the wire.
const maxEventBytes = 256 << 10

// Last reports whether no event follows e.
func Last(e *Event) bool { return e.GetFinish() != "" || e.GetFailure() != "" }

// Write writes e to w, length-delimited.
func Write(w io.Writer, e *Event) error {
	if _, err := protodelim.MarshalTo(w, e); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

// MismatchError says that an answer is not the one to this attempt. Its connection must be closed, never reused.
type MismatchError struct {
	Attempt ids.Attempt
	Want    string
	Got     string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("attempt %s: answer has %s, want %s", e.Attempt, e.Got, e.Want)
}

// CutError says that a stream ended before its last event.
type CutError struct {
	Attempt ids.Attempt
	Tokens  int
	Cause   error
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("attempt %s: answer cut off after %d tokens", e.Attempt, e.Tokens)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// Follower reads the events of one answer and checks that they belong to it and come in order, each once.
type Follower struct {
	id    ids.Attempt
	r     *bufio.Reader
	event Event
	next  int
	ended bool
}

// NewFollower reads the answer to attempt a from r; token index next is expected first.
func NewFollower(a ids.Attempt, next int, r io.Reader) *Follower {
	return &Follower{id: a, r: bufio.NewReader(r), next: next}
}

// Next returns the next event, which is valid until the following call, and io.EOF after the last one. Errors:
// *CutError if the stream ends before its last event, *MismatchError for an event of another answer, a gap, a double,
// or an event after the last.
func (f *Follower) Next() (*Event, error) {
	f.event.Reset()
	err := protodelim.UnmarshalOptions{MaxSize: maxEventBytes}.UnmarshalFrom(f.r, &f.event)
	if errors.Is(err, io.EOF) && f.ended {
		return nil, io.EOF
	}
	if err != nil {
		return nil, &CutError{f.id, f.next, err}
	}
	return &f.event, f.check(&f.event)
}

func (f *Follower) check(e *Event) error {
	if e.GetAttempt() != f.id.Seq {
		return &MismatchError{f.id, "its own id", fmt.Sprintf("sequence %d", e.GetAttempt())}
	}
	if f.ended || e.GetFailure() == "" && int(e.GetIndex()) != f.next {
		got := fmt.Sprintf("index %d (ended %t)", e.GetIndex(), f.ended)
		return &MismatchError{f.id, fmt.Sprintf("index %d", f.next), got}
	}
	f.ended = Last(e)
	if !f.ended {
		f.next++
	}
	return nil
}
