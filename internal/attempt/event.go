package attempt

import (
	"encoding/json"
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

// Event is one server-sent event of a model's answer, from slot to entry.
type Event struct {
	// Attempt is the id that every answer must carry.
	Attempt string `json:"a"`
	// Index is the token's place in the whole answer, from 0; in the last event, the number of tokens.
	Index int `json:"i"`
	// Text is the token.
	Text string `json:"t,omitempty"`
	// Finish is set in the last event only: stop or length.
	Finish string `json:"f,omitempty"`
	// Failure is set in the last event only, in place of Finish, when the answer breaks off.
	Failure string `json:"e,omitempty"`
}

// Last reports whether no event follows.
func (e Event) Last() bool { return e.Finish != "" || e.Failure != "" }

// Encode returns the event with its framing.
func (e Event) Encode() ([]byte, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode event: %w", err)
	}
	return Frame(body), nil
}

// Frame returns data as a server-sent event; data must hold no line break.
func Frame(data []byte) []byte {
	out := make([]byte, 0, len(data)+8)
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, '\n', '\n')
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

// Follower checks that the events of one answer belong to it and come in order, each once.
type Follower struct {
	id    ids.Attempt
	text  string
	next  int
	ended bool
}

// NewFollower expects the answer to attempt a from token index next on.
func NewFollower(a ids.Attempt, next int) *Follower {
	return &Follower{id: a, text: a.String(), next: next}
}

// Next returns how many tokens the caller has, counting those from earlier attempts.
func (f *Follower) Next() int { return f.next }

// Ended reports whether the last event was accepted.
func (f *Follower) Ended() bool { return f.ended }

// Accept takes the next event from the wire. Errors: *MismatchError for an event of another answer, a gap, a double or
// an event after the last.
func (f *Follower) Accept(data []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, &MismatchError{f.id, "an event", fmt.Sprintf("%.40q", data)}
	}
	if e.Attempt != f.text {
		return Event{}, &MismatchError{f.id, "its own id", e.Attempt}
	}
	if f.ended || e.Failure == "" && e.Index != f.next {
		return Event{}, &MismatchError{f.id, fmt.Sprintf("index %d", f.next), fmt.Sprintf("index %d (ended %t)", e.Index, f.ended)}
	}
	f.ended = e.Last()
	if !f.ended {
		f.next++
	}
	return e, nil
}
