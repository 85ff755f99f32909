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

// Event is one token of a model's response, or its end.
type Event = cardamomyokev1.AttemptEvent

// ContentType is the content type of a stream of events.
const ContentType = "application/vnd.cardamomyoke.attempt"

// maxEventBytes is the maximum encoded size of an event.
const maxEventBytes = 256 << 10

// Last reports whether e is the last event of its stream.
func Last(e *Event) bool { return e.GetFinish() != "" || e.GetFailure() != "" }

// Write writes e to w with a length prefix.
func Write(w io.Writer, e *Event) error {
	if _, err := protodelim.MarshalTo(w, e); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

// MismatchError reports that a response does not belong to this attempt or is out of sequence. The connection must be
// closed and never reused.
type MismatchError struct {
	Attempt ids.Attempt
	Want    string
	Got     string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("attempt %s: response has %s, want %s", e.Attempt, e.Got, e.Want)
}

// TruncatedError reports that a stream ended before its last event.
type TruncatedError struct {
	Attempt ids.Attempt
	Tokens  int
	Cause   error
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("attempt %s: response truncated after %d tokens", e.Attempt, e.Tokens)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// EventReader reads the events of one response and checks that they belong to the attempt and arrive in sequence, each
// once.
type EventReader struct {
	id    ids.Attempt
	src   *bufio.Reader
	event Event
	next  int
	ended bool
}

// NewEventReader returns a reader of the response to attempt a from r. The index of its first token must be next.
func NewEventReader(a ids.Attempt, next int, r io.Reader) *EventReader {
	return &EventReader{id: a, src: bufio.NewReader(r), next: next}
}

// Next returns the next event, which is valid until the following call, and io.EOF after the last one. Errors:
// *TruncatedError if the stream ends before its last event; *MismatchError for an event of another attempt, a gap, a
// duplicate, or an event after the last one.
func (r *EventReader) Next() (*Event, error) {
	r.event.Reset()
	err := protodelim.UnmarshalOptions{MaxSize: maxEventBytes}.UnmarshalFrom(r.src, &r.event)
	if errors.Is(err, io.EOF) && r.ended {
		return nil, io.EOF
	}
	if err != nil {
		return nil, &TruncatedError{r.id, r.next, err}
	}
	return &r.event, r.check(&r.event)
}

func (r *EventReader) check(e *Event) error {
	if e.GetAttempt() != r.id.Seq {
		return &MismatchError{r.id, "its own id", fmt.Sprintf("sequence %d", e.GetAttempt())}
	}
	if r.ended || e.GetFailure() == "" && int(e.GetIndex()) != r.next {
		got := fmt.Sprintf("index %d (ended %t)", e.GetIndex(), r.ended)
		return &MismatchError{r.id, fmt.Sprintf("index %d", r.next), got}
	}
	r.ended = Last(e)
	if !r.ended {
		r.next++
	}
	return nil
}
