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
	stream     relay
	// placedAt is when the latest attempt got its upstream, firstAt when the first piece of the answer came.
	placedAt, firstAt time.Time
	// lastAt is when the latest events were given to the caller.
	lastAt   time.Time
	upstream ids.Upstream
	// held is the upstream's own failure, to be given to the caller if no other attempt succeeds.
	held *plainAnswer
	// gaveHeld says that the caller got it.
	gaveHeld bool
	// trace is the trace context for the next hop; empty if there is none.
	trace string
	// print is the request's fingerprint once hashed is set.
	print  quarantine.Fingerprint
	hashed bool
}

func newRun(g *Gateway, v *view, x *httpserver.Exchange, r *request) *run {
	return &run{g: g, x: x, r: r, service: v.services[r.service.Name], stream: relay{lastEvent: r.call.LastEvent}}
}

// maxUnreached is how many attempts may fail to reach any upstream before the request is given up.
const maxUnreached = 4

// attempts tries until the caller has its whole answer, or nothing more may be tried. Errors: *failure.Error.
func (n *run) attempts(ctx context.Context) error {
	if n.service == nil {
		return failure.New(failure.CodeNoUpstream, nil).WithRetryAfter(unknownRetry)
	}
	if _, refused := n.g.suspects.judge(n, n.r.arrived); refused != nil {
		return refused.refusal(n.r.arrived)
	}
	n.service.budget.First(n.r.arrived)
	for {
		ticket, err := n.service.gate.Wait(ctx, n.place())
		if err != nil {
			return n.unplaced(ctx, err)
		}
		n.placedAt = time.Now()
		n.upstream = ticket.Upstream().ID
		n.g.placed(n, ticket.Decision())
		err = n.traced(ctx, ticket)
		n.doubtGroup(ticket.Upstream(), err)
		n.service.gate.Done(ticket, outcomeOf(ctx, err))
		if err == nil {
			n.g.suspects.completed(n, time.Now())
			return nil
		}
		n.note(err)
		n.blame(ticket.Upstream(), err)
		n.reject(ticket.Upstream(), err)
		if reason := n.final(ctx, err); reason != "" {
			return n.giveUp(ctx, err, reason)
		}
		n.g.repeated(n, err)
	}
}

// place is what the pool must know of the request's next attempt.
func (n *run) place() dispatch.Request {
	r := n.r
	latest := r.deadline
	if r.route.Kind == catalog.KindStream {
		since := r.arrived
		if n.x.Responded() {
			since = n.lastAt
		}
		if leaves := since.Add(r.route.CallerTimeout()); leaves.Before(latest) {
			latest = leaves
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

// traced is attempt with a span around it.
func (n *run) traced(ctx context.Context, t *dispatch.Ticket) error {
	incoming := n.trace
	ctx, span := n.g.tracer.Start(ctx, "gateway attempt", incoming, attribute.String("upstream", string(t.Upstream().ID)))
	n.trace = span.Header()
	err := n.movable(ctx, t)
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
		drop(res)
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
	if errors.As(err, &refused) && refused.stranger() {
		n.g.loop.Post(func(now time.Time) { n.g.reject(u, refused.Instance, now) })
	}
}

// note remembers what an attempt proved.
func (n *run) note(err error) {
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

// final says why the request must not be tried again, or nothing.
//
// A request that may not be repeated must not run twice after its connection broke. Only two proofs allow another attempt: no
// connection was made, or the upstream promised that it did not run.
func (n *run) final(ctx context.Context, err error) string {
	var gone *httpserver.ConnectionClosedError
	var moved *MovedError
	switch {
	case errors.As(err, &gone):
		return "the caller left"
	case ctx.Err() != nil:
		return "the time is over"
	case n.mayHaveRun && !n.r.route.Repeatable():
		return "it may have run"
	case n.x.Responded() && !n.r.route.Resumable:
		return "the answer has begun"
	case n.sent >= n.r.route.Attempts:
		return "no attempt is left"
	case n.suspected():
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

// giveUp turns the last attempt's error into the caller's answer.
func (n *run) giveUp(ctx context.Context, err error, reason string) error {
	cause := fmt.Errorf("%s: %w", reason, err)
	var gone *httpserver.ConnectionClosedError
	switch {
	case errors.As(err, &gone) || context.Cause(ctx) == context.Canceled:
		return failure.New(failure.CodeCancelled, cause)
	case n.held != nil && !n.x.Responded():
		n.gaveHeld = true
		return n.held.respond(n)
	case n.x.Responded():
		return failure.New(failure.CodeIncompleteAnswer, cause)
	case ctx.Err() != nil && n.mayHaveRun:
		return failure.New(failure.CodeDeadlinePassed, cause)
	case n.mayHaveRun:
		return failure.New(failure.CodeUpstreamFailed, cause)
	}
	return failure.New(failure.CodeNoUpstream, cause).WithRetryAfter(refusedRetry)
}

// refusedRetry is when a caller may come back whose request all upstreams refused: some requests end meanwhile.
const refusedRetry = 300 * time.Millisecond

// unplaced turns the pool's refusal into the caller's answer. A request that may have run before is not said not to.
func (n *run) unplaced(ctx context.Context, err error) error {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return failure.New(failure.CodeCancelled, err)
	case n.mayHaveRun || n.x.Responded():
		return n.giveUp(ctx, err, "no upstream for another attempt")
	}
	var none *dispatch.NoUpstreamError
	var full *dispatch.OverloadedError
	switch {
	case errors.As(err, &none):
		return failure.New(failure.CodeNoUpstream, err).WithRetryAfter(none.RetryAfter)
	case errors.As(err, &full):
		return failure.New(failure.CodeOverloaded, err).WithRetryAfter(full.RetryAfter)
	}
	return failure.New(failure.CodeDeadlineUnmet, err).WithRetryAfter(refusedRetry)
}

// outcomeOf is what an attempt says of its upstream.
func outcomeOf(ctx context.Context, err error) dispatch.Outcome {
	var gone *httpserver.ConnectionClosedError
	var refused *RefusedError
	var failed *FailedError
	var moved *MovedError
	switch {
	case err == nil:
		return dispatch.OutcomeOK
	case errors.As(err, &gone) || errors.As(err, &moved) || ctx.Err() != nil:
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
