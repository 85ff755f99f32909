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
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// streamState is the part of a stream that the caller has received.
type streamState struct {
	// lastEvent is the id of the last event that the caller has; another upstream resumes the stream after it.
	lastEvent string
	// events counts the writes of events to the caller; longestGap is the longest time between two of them.
	events     int
	longestGap time.Duration
	// untilClose is set if the caller's response ends with its connection, as that of the upstream.
	untilClose bool
}

// recordEvents records a write of events; gap is the time since the previous one.
func (r *streamState) recordEvents(gap time.Duration) {
	if r.events > 0 {
		r.longestGap = max(r.longestGap, gap)
	}
	r.events++
}

// streamBufferBytes is the size of one read from an upstream; an event has some tens of bytes.
const streamBufferBytes = 8 << 10

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

// EventError reports that a stream has an event that cannot be relayed.
type EventError struct{ Reason string }

// Error implements error.
func (e *EventError) Error() string { return "stream: " + e.Reason }

// relayStream relays a stream's events as they arrive.
//
// An upstream may fail within an event, and the stream then resumes on another one. Only complete events are relayed,
// and none that the caller already has, so that no event consists of two halves.
func (n *run) relayStream(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, info ResponseInfo) error {
	if !info.Signed {
		res.Release(false)
		return &ResponseError{t.Upstream().ID, res.Status, "stream without a signature"}
	}
	err := n.copyEvents(ctx, t, res)
	res.Release(err == nil)
	if err != nil {
		return err
	}
	if !n.x.Responded() {
		return &EventError{"contains no event"}
	}
	if res.CloseDelimited {
		if err := n.checkStreamEnd(ctx, t.Upstream()); err != nil {
			return err
		}
	}
	return n.x.End()
}

// checkStreamEnd returns an error if the end of a stream that ended with its connection must not be passed on. A stream that
// may be resumed is resumed after its last event, and the end that the other upstream gives it counts.
func (n *run) checkStreamEnd(ctx context.Context, u *catalog.Upstream) error {
	if err := n.checkAlive(ctx, u); err != nil {
		return err
	}
	if n.stream.untilClose {
		return nil
	}
	return &UnprovenEndError{u.ID}
}

// startStream sends the response header. The caller is told where the stream ends only if the upstream will tell, or another
// one may be asked.
func (n *run) startStream(res *httpclient.Response) error {
	n.stream.untilClose = res.CloseDelimited && !n.mayConfirm()
	if n.stream.untilClose {
		return n.x.StreamUntilClose(res.Status, responseHeaders(res.Header))
	}
	return n.x.Stream(res.Status, responseHeaders(res.Header))
}

func (n *run) copyEvents(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response) error {
	var pending []byte
	buf := make([]byte, streamBufferBytes)
	for {
		size, err := res.Body.Read(buf)
		pending = append(pending, buf[:size]...)
		complete := completeEvents(pending)
		if complete > 0 {
			if err := n.writeEvents(ctx, t, res, pending[:complete]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return &EventError{"ends within an event"}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return &httpclient.BrokenError{Address: t.Upstream().Address, Stage: "read events from", Cause: err}
		case len(pending) > maxEventBytes:
			return &EventError{"event is too long"}
		}
	}
}

// writeEvents writes complete events to the caller, preceded by the response header if they are the first.
func (n *run) writeEvents(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, events []byte) error {
	events, last, err := eventsAfter(events, n.stream.lastEvent)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return nil
	}
	n.service.gate.Responded(t)
	n.recordFirstPiece()
	if !n.x.Responded() {
		if err := n.startStream(res); err != nil {
			return err
		}
	}
	if err := n.x.Write(ctx, events); err != nil {
		return err
	}
	n.stream.recordEvents(time.Since(n.lastEventAt))
	n.lastEventAt = time.Now()
	n.stream.lastEvent = last
	return nil
}

var eventEnd = []byte("\n\n")

// completeEvents returns the number of bytes of b up to the end of its last complete event.
func completeEvents(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// eventsAfter drops the leading events up to the one with id last, which the caller already has, and returns the others
// with the id of their last event. Ids are increasing numbers; events without a numeric id are kept. The error
// is always nil.
func eventsAfter(events []byte, last string) ([]byte, string, error) {
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		lastNumber = -1
	}
	rest := events
	for len(rest) > 0 {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		id, ok := eventID(rest[:end])
		if !ok || id > lastNumber {
			break
		}
		rest = rest[end:]
	}
	return rest, lastEventID(rest, last), nil
}

func lastEventID(events []byte, last string) string {
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
