package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
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
	// attemptEvents counts the writes of events of the current attempt.
	attemptEvents int
	// untilClose is set if the caller's response ends with its connection, as that of the upstream.
	untilClose bool
	// unprovenEnd is set if an upstream ended the stream after lastEvent by closing its connection, ownEnd if that upstream had sent lastEvent.
	// endContested is set if another upstream has gone on after such an end, or was asked to and failed.
	unprovenEnd, ownEnd, endContested bool
	ids                               idSequence
}

// recordEvents records a write of events; gap is the time since the previous one.
func (r *streamState) recordEvents(gap time.Duration) {
	if r.events > 0 {
		r.longestGap = max(r.longestGap, gap)
	}
	r.events++
	r.attemptEvents++
	r.endContested = r.endContested || r.unprovenEnd
	r.unprovenEnd, r.ownEnd = false, false
}

// streamBufferBytes is the size of one read from an upstream; an event has some tens of bytes.
const streamBufferBytes = 8 << 10

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 128 << 10

// EventError reports that a stream has an event that cannot be relayed.
type EventError struct{ Reason string }

// Error implements error.
func (e *EventError) Error() string { return "stream: " + e.Reason }

// relayStream relays a stream's events as they arrive.
//
// An upstream may fail within an event, and the stream then resumes on another one. Only complete events are relayed,
// and none that the caller already has, so that no event consists of two halves.
func (n *run) relayStream(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, info ResponseInfo) error {
	if reason := n.unusable(res, info); reason != "" {
		res.Release(false)
		return &ResponseError{t.Upstream().ID, res.Status, reason}
	}
	gapBefore := n.stream.ids.gap
	err := n.copyEvents(ctx, t, res)
	res.Release(err == nil)
	n.service.gaps.Record(n.stream.ids.gap != gapBefore)
	if err != nil {
		return err
	}
	if !n.x.Responded() {
		return &EventError{"contains no event"}
	}
	if res.CloseDelimited {
		if err := n.checkStreamEnd(ctx, t.Upstream(), res.BodyBytes()); err != nil {
			return err
		}
	}
	if !n.handovers.complete() {
		return &MovedError{Upstream: t.Upstream().ID}
	}
	return n.x.End()
}

// checkStreamEnd returns an error if the end of a stream that ended with its connection must not be passed on, given the size of the
// attempt's body. A stream that may be resumed is resumed after its last event, and the end that the other upstream gives it counts.
// One that ends in the same way and sends nothing ends the stream after the same event: no event has followed it anywhere.
func (n *run) checkStreamEnd(ctx context.Context, u *catalog.Upstream, bodyBytes int64) error {
	if err := n.checkAlive(ctx, u); err != nil {
		return err
	}
	if n.stream.untilClose || n.stream.unprovenEnd && bodyBytes == 0 {
		return nil
	}
	sentOld := n.stream.attemptEvents == 0 && bodyBytes > 0
	n.stream.endContested = n.stream.endContested || n.stream.ownEnd && sentOld
	// An attempt that sent only events that the caller has may have ended before the last one.
	n.stream.unprovenEnd = n.stream.unprovenEnd || bodyBytes == 0 || n.stream.attemptEvents > 0
	n.stream.ownEnd = n.stream.ownEnd || n.stream.attemptEvents > 0
	return &UnprovenEndError{u.ID}
}

// endStands reports whether the end that an upstream gave the stream is passed on although it is not proven, since no further attempt is
// made for a reason: nobody could be asked for it.
//
// The upstream closed its connection after a whole event and still accepts connections, which is all that it says of its end. If it is
// doubted without an answer from another one, a whole stream is broken off.
func (n *run) endStands(reason stopCause) bool {
	if !n.stream.ownEnd || n.stream.endContested {
		return false
	}
	switch reason {
	case stopAttempts, stopBudget, stopNoPlace, stopUnreached, stopStopping:
		return true
	}
	return false
}

// startStream sends the response header. The caller is told where the stream ends only if the upstream will tell, or another
// one may be asked.
func (n *run) startStream(res *httpclient.Response) error {
	n.stream.untilClose = res.CloseDelimited && !(n.mayConfirm() && n.mayGoElsewhere())
	if n.stream.untilClose {
		return n.x.StreamUntilClose(res.Status, responseHeaders(res.Header))
	}
	return n.x.Stream(res.Status, responseHeaders(res.Header))
}

func (n *run) copyEvents(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response) error {
	var pending []byte
	memory := n.reserveBuffer()
	defer memory.free()
	// begunAt is when the event that is not complete yet began to arrive; zero if there is none.
	var begunAt time.Time
	buf := make([]byte, streamBufferBytes)
	for {
		size, err := n.readEvents(res, buf, begunAt)
		pending = append(pending, buf[:size]...)
		complete := completeEvents(pending)
		if complete > 0 {
			if err := n.writeEvents(ctx, t, res, pending[:complete]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[complete:]...)
			begunAt = time.Time{}
		}
		if len(pending) > 0 && begunAt.IsZero() {
			begunAt = time.Now()
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
		case len(pending) > unreservedBytes && !memory.grow(len(pending)):
			return &EventError{"no memory for a long event"}
		}
	}
}

// readEvents reads what has arrived of the events. If the rest of an event that has begun takes longer than half of the time for which
// the caller waits, the stream is handed over to another upstream, if one may resume it.
func (n *run) readEvents(res *httpclient.Response, buf []byte, begunAt time.Time) (int, error) {
	if begunAt.IsZero() || n.handovers == nil {
		return res.Body.Read(buf)
	}
	limit := min(n.r.route.CallerTimeout(), n.r.deadline.Sub(begunAt)) / 2
	defer n.handOverAt(n.handovers, begunAt.Add(limit))()
	return res.Body.Read(buf)
}

// handOverAt begins to hand the stream over at a time, and again while that comes to nothing, until stop is called.
func (n *run) handOverAt(h *handovers, at time.Time) (stop func()) {
	ctx, cancel := context.WithCancel(h.ctx)
	go func() {
		for wait := time.Until(at); ; wait = handoverPause {
			monotonic.Sleep(ctx, wait)
			if ctx.Err() != nil {
				return
			}
			n.beginHandover(h, moveStalled, time.Now())
		}
	}()
	return cancel
}

// writeEvents writes complete events to the caller, preceded by the response header if they are the first.
func (n *run) writeEvents(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, events []byte) error {
	if err := n.handovers.beginWrite(ctx); err != nil {
		return err
	}
	defer n.handovers.endWrite()
	events, last, err := n.nextEvents(events)
	if len(events) == 0 {
		return err
	}
	n.service.gate.Responded(t)
	n.recordFirstPiece()
	if !n.x.Responded() {
		if err := n.startStream(res); err != nil {
			return err
		}
		n.lastEventAt = time.Now()
	}
	if err := n.x.Write(ctx, events); err != nil {
		return err
	}
	n.stream.recordEvents(time.Since(n.lastEventAt))
	if goesOn(events, n.stream.lastEvent) {
		n.forgetLeft("taken-over")
	}
	if n.stream.attemptEvents >= minAnsweredEvents {
		n.answering()
	}
	n.lastEventAt = time.Now()
	n.stream.lastEvent = last
	return err
}

// nextEvents returns the events that the caller does not have yet, up to a missing one, and the id of the last. It returns
// *MissingEventError if one is missing and gaps are not usual for the service. They are looked for in any case, or what is usual would
// be forgotten.
func (n *run) nextEvents(events []byte) ([]byte, string, error) {
	events = eventsAfter(events, n.stream.lastEvent)
	size, last, missing := n.stream.ids.check(events, n.stream.lastEvent)
	switch {
	case missing == nil:
		return events, last, nil
	case n.service.gaps.Usual():
		n.stream.ids.irregular = true
		return events, lastEventID(events, n.stream.lastEvent), nil
	}
	return events[:size], last, missing
}
