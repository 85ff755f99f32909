package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// attemptEnd names how an attempt ended without a whole answer. It is a label of metrics.
type attemptEnd string

// The values of attemptEnd. All but endBroken, endUnreached and endRefused are ends that this gateway has brought about.
const (
	// endNone: no attempt has ended yet.
	endNone attemptEnd = ""
	// endBroken: the connection to the upstream broke, or its response was no answer.
	endBroken attemptEnd = "broken"
	// endUnreached: no connection to the upstream could be established.
	endUnreached attemptEnd = "unreached"
	// endRefused: the upstream refused the attempt.
	endRefused attemptEnd = "refused"
	// endMoved: the attempt was moved to another upstream.
	endMoved attemptEnd = "moved"
	// endMissingEvent: an id of the stream left some out.
	endMissingEvent attemptEnd = "missing-event"
	// endUnproven: only the close of the upstream's connection told that the answer was complete.
	endUnproven attemptEnd = "unproven-end"
	// endUnfinished: the rest of an event, a header or a body took too long.
	endUnfinished attemptEnd = "unfinished"
	// endInvalidEvent: an event could not be relayed.
	endInvalidEvent attemptEnd = "invalid-event"
	// endNotRelayed: the response must not reach the caller.
	endNotRelayed attemptEnd = "not-relayed"
	// endCaller: the connection to the caller ended.
	endCaller attemptEnd = "caller"
	// endDeadline: the time for the request was over. endStopping: the gateway stops.
	endDeadline attemptEnd = "deadline"
	endStopping attemptEnd = "stopping"
)

// attemptEndOf returns how an attempt ended that failed with err.
func attemptEndOf(err error) attemptEnd {
	is := func(target any) bool { return errors.As(err, target) }
	switch {
	case is(new(*httpserver.ConnectionClosedError)):
		return endCaller
	case is(new(*MovedError)):
		return endMoved
	case is(new(*MissingEventError)):
		return endMissingEvent
	case is(new(*UnprovenEndError)), is(new(*HeldHeaderError)), is(new(*httpclient.NotAliveError)):
		return endUnproven
	case is(new(*UnfinishedBodyError)), is(new(*httpclient.UnansweredError)), is(new(*LongBodyError)):
		return endUnfinished
	case is(new(*EventError)):
		return endInvalidEvent
	case is(new(*RefusedError)):
		return endRefused
	case is(new(*ResponseError)):
		return endNotRelayed
	case is(new(*httpclient.BrokenError)):
		return endBroken
	case is(new(*httpclient.DialError)):
		return endUnreached
	}
	return endBroken
}

// recordEnd records how an attempt ended that failed with err in a context, unless it sent the caller nothing after an earlier one.
func (n *run) recordEnd(ctx context.Context, err error, now time.Time) {
	if n.answerEnd != endNone && n.stream.attemptEvents == 0 {
		return
	}
	n.answerEnd, n.answerEndedAt = attemptEndOf(err), now
	switch {
	case stopping(ctx):
		n.answerEnd = endStopping
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		n.answerEnd = endDeadline
	}
}

// brokenOff counts an answer that has begun and is broken off, and returns its log fields: how the attempt ended that sent the latest
// events, how long ago, and why no other one has followed. For all other outcomes it returns nil.
func (n *run) brokenOff(err error, now time.Time) []any {
	if err == nil || failure.CodeOf(err) != failure.CodeIncompleteAnswer {
		return nil
	}
	n.g.metrics.answerBrokenOff(n.r.service.Name, n.answerEnd, n.stoppedBy)
	return []any{"answer_ended_by", n.answerEnd, "ended_ago_ms", ageOf(n.answerEndedAt, now), "not_resumed_by", n.stoppedBy}
}
