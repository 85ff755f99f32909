package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// run is one request on its way: its attempts, and what the caller has got so far.
type run struct {
	g       *Gateway
	x       *httpserver.Exchange
	r       *request
	service *service
	// sent counts attempts that may have reached an upstream; unreached those that cannot have.
	sent, unreached int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	exclude    []ids.Upstream
	stream     streamState
	// placedAt is when the latest attempt got its upstream, firstAt when the first piece of the answer came.
	placedAt, firstPieceAt time.Time
	// lastEventAt is when the latest events were given to the caller.
	lastEventAt time.Time
	upstream    ids.Upstream
	// heldFailure is the upstream's own failure, to be given to the caller if no other attempt succeeds.
	heldFailure *plainResponse
	// relayedFailure says that the caller got it.
	relayedFailure bool
	// trace is the trace context for the next hop; empty if there is none.
	trace string
	// cachedFingerprint is the request's fingerprint once hashed is set.
	cachedFingerprint quarantine.Fingerprint
	hasFingerprint    bool
}

func newRun(g *Gateway, v *view, x *httpserver.Exchange, r *request) *run {
	return &run{g: g, x: x, r: r, service: v.services[r.service.Name], stream: streamState{lastEvent: r.call.LastEvent}}
}

// maxUnreached is how many attempts may fail to reach any upstream before the request is given up.
const maxUnreached = 4

// runAttempts tries until the caller has its whole answer, or nothing more may be tried. Errors: *failure.Error.
func (n *run) runAttempts(ctx context.Context) error {
	if n.service == nil {
		return failure.New(failure.CodeNoUpstream, nil).WithRetryAfter(notReadyRetryAfter)
	}
	if _, refused := n.g.suspects.classify(n, n.r.arrived); refused != nil {
		return refused.asFailure(n.r.arrived)
	}
	n.service.budget.First(n.r.arrived)
	for {
		ticket, err := n.service.gate.Wait(ctx, n.dispatchRequest())
		if err != nil {
			return n.unplacedError(ctx, err)
		}
		n.placedAt = time.Now()
		n.upstream = ticket.Upstream().ID
		n.g.logPlaced(n, ticket.Decision())
		err = n.tracedAttempt(ctx, ticket)
		n.reportGroupFailure(ticket.Upstream(), err)
		n.service.gate.Done(ticket, outcomeOf(ctx, err))
		if err == nil {
			n.g.suspects.completed(n, time.Now())
			return nil
		}
		n.recordFailure(err)
		n.checkCrash(ticket.Upstream(), err)
		n.reject(ticket.Upstream(), err)
		if reason := n.stopReason(ctx, err); reason != "" {
			return n.finalError(ctx, err, reason)
		}
		n.g.logRetry(n, err)
	}
}

// dispatchRequest is what the pool must know of the request's next attempt.
func (n *run) dispatchRequest() dispatch.Request {
	r := n.r
	latest := r.deadline
	if r.route.Kind == catalog.KindStream {
		since := r.arrived
		if n.x.Responded() {
			since = n.lastEventAt
		}
		if callerTimeout := since.Add(r.route.CallerTimeout()); callerTimeout.Before(latest) {
			latest = callerTimeout
		}
	}
	return dispatch.Request{
		Arrived:      r.arrived,
		Aim:          r.arrived.Add(r.route.TargetLatency),
		Latest:       latest,
		Priority:     r.priority,
		PromptTokens: r.call.PromptTokens,
		Exclude:      n.exclude,
	}
}

// tracedAttempt is attempt with a span around it.
func (n *run) tracedAttempt(ctx context.Context, t *dispatch.Ticket) error {
	incoming := n.trace
	ctx, span := n.g.tracer.Start(ctx, "gateway attempt", incoming, attribute.String("upstream", string(t.Upstream().ID)))
	n.trace = span.Header()
	err := n.movableAttempt(ctx, t)
	n.trace = incoming
	span.End(err)
	return err
}

// attempt sends the request to one upstream and relays the answer.
func (n *run) attempt(ctx context.Context, t *dispatch.Ticket) error {
	res, err := n.send(ctx, t.Upstream())
	if err != nil {
		return err
	}
	reply := n.g.dialect.ReadReply(res.Header)
	switch {
	case reply.NotRun:
		discard(res)
		return &RefusedError{t.Upstream().ID, res.Status, reply.Culprit, reply.Instance}
	case isStream(res) && n.r.route.Kind == catalog.KindStream && res.Status/100 == 2:
		return n.relayStream(ctx, t, res, reply)
	default:
		return n.relayPlain(ctx, t, res, reply)
	}
}

// reject has the registry's entry left out whose address another upstream answered at.
func (n *run) reject(u *catalog.Upstream, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.otherInstance() {
		n.g.loop.Post(func(now time.Time) { n.g.reject(u, refused.Instance, now) })
	}
}

// recordFailure remembers what an attempt proved.
func (n *run) recordFailure(err error) {
	var dial *httpclient.DialError
	var refused *RefusedError
	switch {
	case errors.As(err, &dial):
		n.unreached++
	case errors.As(err, &refused) && refused.Status == statusOtherInstance:
		// The upstream that was meant is gone, so the request was not sent to it.
		n.unreached++
	case errors.As(err, &refused):
		n.sent++
	default:
		n.sent++
		n.mayHaveRun = true
	}
	n.exclude = append(n.exclude, n.upstream)
}

// stopReason says why the request must not be tried again, or nothing.
//
// A request that may not be repeated must not run twice after its connection broke. Only two proofs allow another attempt: no
// connection was made, or the upstream promised that it did not run.
func (n *run) stopReason(ctx context.Context, err error) string {
	var closed *httpserver.ConnectionClosedError
	var moved *MovedError
	switch {
	case errors.As(err, &closed):
		return "the caller left"
	case ctx.Err() != nil:
		return "the time is over"
	case n.mayHaveRun && !n.r.route.Repeatable():
		return "it may have run"
	case n.x.Responded() && !n.r.route.Resumable:
		return "the answer has begun"
	case n.sent >= n.r.route.Attempts:
		return "no attempt is left"
	case n.mustStop():
		return "two upstreams died while they ran it"
	case n.unreached >= maxUnreached:
		return "no upstream can be reached"
	case errors.As(err, &moved):
		return "" // its part of the budget was taken when it was moved
	case n.sent > 0 && !n.service.budget.Allow(time.Now()):
		return "the retry budget is used up"
	}
	return ""
}

// finalError turns the last attempt's error into the caller's answer.
func (n *run) finalError(ctx context.Context, err error, reason string) error {
	cause := fmt.Errorf("%s: %w", reason, err)
	var closed *httpserver.ConnectionClosedError
	switch {
	case errors.As(err, &closed) || context.Cause(ctx) == context.Canceled:
		return failure.New(failure.CodeCancelled, cause)
	case n.heldFailure != nil && !n.x.Responded():
		n.relayedFailure = true
		return n.heldFailure.respond(n)
	case n.x.Responded():
		return failure.New(failure.CodeIncompleteAnswer, cause)
	case ctx.Err() != nil && n.mayHaveRun:
		return failure.New(failure.CodeDeadlinePassed, cause)
	case n.mayHaveRun:
		return failure.New(failure.CodeUpstreamFailed, cause)
	}
	return failure.New(failure.CodeNoUpstream, cause).WithRetryAfter(refusedRetryAfter)
}

// refusedRetryAfter is when a caller may come back whose request all upstreams refused: some requests end meanwhile.
const refusedRetryAfter = 300 * time.Millisecond

// unplacedError turns the pool's refusal into the caller's answer. A request that may have run before is not said not to.
func (n *run) unplacedError(ctx context.Context, err error) error {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return failure.New(failure.CodeCancelled, err)
	case n.mayHaveRun || n.x.Responded():
		return n.finalError(ctx, err, "no upstream for another attempt")
	}
	var none *dispatch.NoUpstreamError
	var full *dispatch.OverloadedError
	switch {
	case errors.As(err, &none):
		return failure.New(failure.CodeNoUpstream, err).WithRetryAfter(none.RetryAfter)
	case errors.As(err, &full):
		return failure.New(failure.CodeOverloaded, err).WithRetryAfter(full.RetryAfter)
	}
	return failure.New(failure.CodeDeadlineUnmet, err).WithRetryAfter(refusedRetryAfter)
}

// outcomeOf is what an attempt says of its upstream.
func outcomeOf(ctx context.Context, err error) dispatch.Outcome {
	var closed *httpserver.ConnectionClosedError
	var refused *RefusedError
	var failed *FailedError
	var moved *MovedError
	switch {
	case err == nil:
		return dispatch.OutcomeOK
	case errors.As(err, &closed) || errors.As(err, &moved) || ctx.Err() != nil:
		return dispatch.OutcomeNone
	case errors.As(err, &refused) && refused.Status == statusOtherInstance:
		return dispatch.OutcomeGone
	case errors.As(err, &refused):
		return dispatch.OutcomeRefused
	case errors.As(err, &failed):
		return dispatch.OutcomeFailed
	}
	return dispatch.OutcomeBroken
}
