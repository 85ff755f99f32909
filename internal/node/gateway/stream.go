package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// relay is what a caller has got of a stream.
type relay struct {
	// lastEvent is the id of the last event that the caller has; another upstream goes on after it.
	lastEvent string
	// events counts what was given to the caller at once, longestGap is the longest time between two of them.
	events     int
	longestGap time.Duration
}

// noteEvent notes that events are given to the caller some time after the last ones.
func (r *relay) noteEvent(gap time.Duration) {
	if r.events > 0 {
		r.longestGap = max(r.longestGap, gap)
	}
	r.events++
}

// streamBuffer is the size of one read from an upstream; an event has some tens of bytes.
const streamBuffer = 8 << 10

// maxEventBytes is the longest event that is waited for.
const maxEventBytes = 1 << 20

// EventError says that a stream has an event that cannot be given on.
type EventError struct{ Reason string }

// Error implements error.
func (e *EventError) Error() string { return "stream: " + e.Reason }

// relayStream gives on a stream's events as they come.
//
// An upstream may break off in the middle of an event and the stream go on elsewhere. Only whole events are given on, and
// none that the caller has already, so that no event is a joint of two halves.
func (n *run) relayStream(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, reply Reply) error {
	if !reply.Sealed {
		res.Release(false)
		return &AnswerError{t.Upstream().ID, res.Status, "a stream without a signature"}
	}
	err := n.copyEvents(ctx, t, res)
	res.Release(err == nil)
	if err != nil {
		return err
	}
	if !n.x.Responded() {
		return &EventError{"no event"}
	}
	return n.x.End()
}

func (n *run) copyEvents(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response) error {
	var pending []byte
	buf := make([]byte, streamBuffer)
	for {
		got, err := res.Body.Read(buf)
		pending = append(pending, buf[:got]...)
		whole := wholeEvents(pending)
		if whole > 0 {
			if err := n.giveEvents(ctx, t, res, pending[:whole]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return &EventError{"ends within an event"}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return &httpclient.BrokenError{Address: t.Upstream().Address, Stage: "read events from", Cause: err}
		case len(pending) > maxEventBytes:
			return &EventError{"event too long"}
		}
	}
}

// giveEvents writes whole events to the caller, with the answer's header before the first.
func (n *run) giveEvents(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, events []byte) error {
	events, last, err := after(events, n.stream.lastEvent)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return nil
	}
	n.service.gate.Answered(t)
	n.noteFirst()
	if !n.x.Responded() {
		if err := n.x.Stream(res.Status, answerHeaders(res.Header)); err != nil {
			return err
		}
	}
	if err := n.x.Write(ctx, events); err != nil {
		return err
	}
	n.stream.noteEvent(time.Since(n.lastAt))
	n.lastAt = time.Now()
	n.stream.lastEvent = last
	return nil
}

var eventEnd = []byte("\n\n")

// wholeEvents is how many bytes at the start of b are whole events.
func wholeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// after leaves out the events up to the one that the caller has, and returns the rest with the id of its last event.
// Ids are numbers that grow; a stream whose ids are none is given on as it is.
func after(events []byte, last string) ([]byte, string, error) {
	known, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		known = -1
	}
	rest := events
	for len(rest) > 0 {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		id, ok := eventID(rest[:end])
		if !ok || id > known {
			break
		}
		rest = rest[end:]
	}
	return rest, lastID(rest, last), nil
}

func lastID(events []byte, last string) string {
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		if id, ok := eventID(events[:end]); ok {
			last = strconv.FormatInt(id, 10)
		}
		events = events[end:]
	}
	return last
}

var idField = []byte("id:")

// eventID returns the number in the event's id field.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}
