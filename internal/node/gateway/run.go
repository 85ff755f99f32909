package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// run is the state of one request: its attempts and what the caller has received so far.
type run struct {
	// ctx ends with the request.
	ctx     context.Context
	g       *Gateway
	x       *httpserver.Exchange
	r       *request
	service *service
	// sent counts the attempts that may have reached an upstream, unreached those that cannot have. refusedResumes counts the refused ones after the
	// answer had begun, which are not in sent.
	sent, unreached, refusedResumes int
	// arrived is set once an attempt may have arrived at an upstream, also if that refused it.
	arrived bool
	// token is reserved for the next attempt, paid was used for the latest one; nil if there is none.
	token, paid *retry.Token
	// renewals counts the retries that were reserved in place of expired ones.
	renewals int
	// mayHaveRun is set once an attempt ended without proof that it did not run.
	mayHaveRun bool
	// exclude and excludeAddresses are the upstreams and addresses that must not get the request.
	exclude          []ids.Upstream
	excludeAddresses []string
	stream           streamState
	// placedAt is when the latest attempt was assigned its upstream, firstPieceAt when the first piece of the response
	// arrived.
	placedAt, firstPieceAt time.Time
	// firstPlacedAt is when the first attempt was.
	firstPlacedAt time.Time
	// address is that of the upstream of the latest attempt.
	address string
	// lastEventAt is when the latest events were sent to the caller.
	lastEventAt time.Time
	upstream    ids.Upstream
	// bufferedFailure is the upstream's own failure, which is relayed to the caller if no other attempt succeeds.
	bufferedFailure *plainResponse
	// unproven is a response whose end is not proven, which is relayed to the caller if no other attempt succeeds.
	unproven *plainResponse
	// malformed is the defect of the latest response that was refused for its form; empty if there was none.
	malformed httpclient.Defect
	// relayedFailure is set if the caller received bufferedFailure.
	relayedFailure bool
	// requestMu guards the header of x.Req while an attempt runs.
	requestMu sync.Mutex
	// handovers passes the current attempt on; nil if it may not be. successor is the attempt that has taken over from it; nil if none has.
	handovers *handovers
	successor *successor
	// left is the upstream that the stream has left for another one; nil if it has not.
	left *leftPlace
	// answerEnd is how the attempt ended that sent the caller its latest events, at answerEndedAt; stoppedBy is why no attempt follows.
	answerEnd     attemptEnd
	answerEndedAt time.Time
	stoppedBy     stopCause
	// trace is the trace context for the next hop; empty if there is none.
	trace string
	// cachedFingerprint is the request's fingerprint; valid only if hasFingerprint is set.
	cachedFingerprint quarantine.Fingerprint
	hasFingerprint    bool
	// trial is the refused part for which the request is let through; nil if it is not.
	trial *blame.Part
	// partsAnswered is set once the answer of the current attempt goes on.
	partsAnswered bool
}

func newRun(g *Gateway, v *view, x *httpserver.Exchange, r *request) *run {
	return &run{g: g, x: x, r: r, service: v.services[r.service.Name], stream: streamState{lastEvent: r.call.LastEvent}}
}

const (
	// maxUnreached is how many attempts may fail to reach an upstream before the request is aborted.
	maxUnreached = 4
	// maxRefusedResumes is how many upstreams may refuse to go on with an answer before it is broken off.
	maxRefusedResumes = 4
)

// runAttempts runs attempts until the caller has its full response or no further attempt is permitted. It returns
// *failure.Error.
func (n *run) runAttempts(ctx context.Context) error {
	if n.service == nil {
		return failure.New(failure.CodeNoUpstream, nil).WithRetryAfter(notReadyRetryAfter)
	}
	if _, refused := n.g.suspects.classify(n, n.r.arrived); refused != nil {
		return refused.asFailure(n.r.arrived)
	}
	if refused := n.refusal(); refused != nil && !n.claimTrial(ctx, refused.Refusal.Part) {
		n.g.metrics.partRefused(n.r.service.Name)
		return refused.asFailure(n.r.arrived)
	}
	defer n.endTrial()
	n.service.budget.RecordFirst(n.r.arrived)
	defer n.returnToken()
	defer n.freeKept()
	defer n.forgetLeft("request-ended")
	n.ctx = ctx
	attemptCtx := ctx
	var last error
	for {
		ticket, err := n.place(attemptCtx, last)
		if ticket == nil {
			return err
		}
		err = n.tracedAttempt(attemptCtx, ticket)
		n.reportGroupFailure(ticket.Upstream(), err, n.x.Responded())
		n.service.gate.Done(ticket, outcomeOf(attemptCtx, err))
		if err == nil {
			n.g.suspects.completed(n, time.Now())
			n.answering()
			return nil
		}
		n.recordEnd(attemptCtx, err, time.Now())
		if proofOf(err) == notrun.NotWritten {
			n.placeAgain(err)
			continue
		}
		n.recordMalformed(err)
		n.recordFailure(ticket.Upstream(), err)
		n.checkCrash(ticket.Upstream(), err, n.stream.attemptEvents)
		n.reject(ticket.Upstream(), err)
		if n.successor == nil {
			if reason := n.stopReason(attemptCtx, err); reason != stopNone && !n.goBack(ctx, reason) {
				return n.finalError(ctx, err, reason)
			}
		}
		n.g.logRetry(n, err)
		last = err
		if n.unproven != nil {
			var cancel context.CancelFunc
			attemptCtx, cancel = context.WithDeadline(ctx, n.confirmationDeadline(time.Now()))
			defer cancel()
		}
	}
}

// place returns the ticket of the next attempt: that of the successor which has taken over, a new one, or one for the upstream that
// the stream has left. It returns nil if the request has ended, with its error; last is the error of the attempt before.
func (n *run) place(attemptCtx context.Context, last error) (*dispatch.Ticket, error) {
	if n.successor != nil {
		n.recordPlaced(n.successor.ticket, n.successor.placedAt)
		return n.successor.ticket, nil
	}
	if n.left != nil && n.left.back {
		return n.placeBack(attemptCtx, last)
	}
	next := n.placeAnew
	if n.left != nil && n.left.next != nil {
		next = n.placeMoved
	}
	ticket, err := next(attemptCtx, last)
	if err != nil && n.goBack(n.ctx, n.stoppedBy) {
		return n.placeBack(attemptCtx, last)
	}
	return ticket, err
}

// placeAnew returns a new ticket for the next attempt; nil if the request has ended.
func (n *run) placeAnew(attemptCtx context.Context, last error) (*dispatch.Ticket, error) {
	waitCtx, cancel := n.placementContext(attemptCtx)
	defer cancel()
	for {
		ticket, err := n.service.gate.Wait(waitCtx, n.dispatchRequest(n.x.Responded()))
		if err != nil {
			return nil, n.unplacedError(n.ctx, err)
		}
		if err := waitCtx.Err(); err != nil { // placed and ended at the same time
			n.service.gate.Done(ticket, dispatch.OutcomeNone)
			return nil, n.unplacedError(n.ctx, err)
		}
		if refused := n.refusal(); refused != nil {
			n.service.gate.Done(ticket, dispatch.OutcomeNone)
			return nil, n.refusedWhileWaiting(n.ctx, refused)
		}
		if n.payForRetry(time.Now()) {
			n.recordPlaced(ticket, time.Now())
			n.g.logPlaced(n, ticket.Upstream().Incarnation(), ticket.PlacementInputs())
			return ticket, nil
		}
		n.service.gate.Done(ticket, dispatch.OutcomeNone)
		if !n.renewRetry(attemptCtx) {
			n.g.logRetryDenied(n, last)
			return nil, n.finalError(n.ctx, last, stopBudget)
		}
	}
}

// recordPlaced records the placement of the next attempt.
func (n *run) recordPlaced(t *dispatch.Ticket, at time.Time) {
	n.placedAt = at
	if n.firstPlacedAt.IsZero() {
		n.firstPlacedAt = at
	}
	n.upstream, n.address = t.Upstream().ID, t.Upstream().Address
	n.g.metrics.placedUnderOverload(n.r.service.Name, n.r.route.Priority, t.PlacementInputs())
	n.g.metrics.coldSent(n.r.service.Name, t.PlacementInputs())
}

// dispatchRequest describes the next attempt for the service's pool; begun is set if the caller has a part of the answer.
func (n *run) dispatchRequest(begun bool) dispatch.Request {
	r := n.r
	latest := r.deadline
	if r.route.Kind == catalog.KindStream {
		since := r.arrived
		if begun && !n.lastEventAt.IsZero() {
			since = n.lastEventAt
		}
		if callerTimeout := since.Add(r.route.CallerTimeout()); callerTimeout.Before(latest) {
			latest = callerTimeout
		}
	}
	return dispatch.Request{
		Arrived:          r.arrived,
		Target:           r.arrived.Add(r.route.TargetLatency),
		Deadline:         latest,
		Priority:         r.priority,
		Class:            r.route.Priority,
		PromptTokens:     r.call.PromptTokens,
		Account:          fairshare.AccountOf(r.client),
		Tokens:           r.call.work(r.service.Engine),
		EndsBy:           r.deadline,
		Begun:            begun,
		MayHaveRun:       n.mayHaveRun,
		Once:             !r.route.Repeatable(),
		Exclude:          n.exclude,
		ExcludeAddresses: n.excludeAddresses,
	}
}

// tracedAttempt runs an attempt within a span.
func (n *run) tracedAttempt(ctx context.Context, t *dispatch.Ticket) error {
	incoming := n.trace
	ctx, span := n.g.tracer.Start(ctx, "gateway attempt", incoming, attribute.String("upstream", string(t.Upstream().ID)))
	n.trace = span.Header()
	err := n.cancellableAttempt(ctx, func(ctx context.Context) error { return n.movableAttempt(ctx, t) })
	n.trace = incoming
	span.End(err)
	return err
}

// attempt sends the request to one upstream and relays the response.
func (n *run) attempt(ctx context.Context, t *dispatch.Ticket) error {
	n.stream.attemptEvents = 0
	if s := n.successor; s != nil {
		n.successor = nil
		return n.relaySuccessor(ctx, t, s)
	}
	res, err := n.send(ctx, t, sendInput{placedAt: n.placedAt, lastEvent: n.stream.lastEvent, elsewhere: n.mayGoElsewhere()})
	if err != nil {
		return err
	}
	info := n.readStatements(t.Upstream(), res, n.placedAt)
	switch {
	case info.NotRun:
		return refusalOf(t.Upstream(), res, info)
	case isStream(res) && n.r.route.Kind == catalog.KindStream && res.Status/100 == 2:
		err = n.relayStream(ctx, t, res, info)
	case n.x.Responded():
		res.Release(false)
		return &ResponseError{t.Upstream().ID, res.Status, "not the rest of a stream that has begun"}
	default:
		err = n.relayPlain(ctx, t, res, info)
	}
	if res.CloseDelimited {
		n.recordCloseDelimited(t.Upstream(), res, err)
	}
	return err
}

// readStatements reads what the header of a response to an attempt at u says, and records what it says of upstreams.
func (n *run) readStatements(u *catalog.Upstream, res *httpclient.Response, placedAt time.Time) ResponseInfo {
	info := n.g.dialect.ReadResponse(res.Header)
	responder := n.responder(u, res.Status, info)
	n.g.recordLimit(responder, res.Status, info, placedAt)
	n.g.recordCold(responder, res.Status, info, placedAt)
	n.recordRest(responder, info.Rest)
	n.recordLeaving(responder, info.Leaving)
	if res.Status/100 == 2 && !res.CloseDelimited {
		n.service.habit.Record(false)
	}
	return info
}

// refusalOf returns the error of a response that promises that the attempt did not run, and frees the response.
func refusalOf(u *catalog.Upstream, res *httpclient.Response, info ResponseInfo) error {
	refused := newRefusedError(u, res, info)
	if refused.Status == statusOtherInstance {
		res.Release(false) // the process behind the connection is not the one that later requests are meant for
	} else {
		res.ReleaseUnread()
	}
	return refused
}

// responder returns the upstream that sent a response to an attempt at u; nil if it is not known.
func (n *run) responder(u *catalog.Upstream, status int, info ResponseInfo) *catalog.Upstream {
	switch {
	case info.Instance != "" && info.Instance != u.ID:
		return n.g.view.Load().upstreams.Get(info.Instance)
	case info.Instance == "" && status == statusOtherInstance:
		return nil
	}
	return u
}

// reject excludes the registry entry of u if another upstream responded at its address.
func (n *run) reject(u *catalog.Upstream, err error) {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Proof == notrun.OtherInstance {
		n.g.loop.Post(func(now time.Time) { n.g.reject(u, refused.Instance, now) })
	}
}

// recordFailure records what a failed attempt at u proves.
func (n *run) recordFailure(u *catalog.Upstream, err error) {
	proof := proofOf(err)
	n.arrived = n.arrived || proof != notrun.NoConnection
	switch proof {
	case notrun.NoConnection:
		n.unreached++
		n.refundRetry()
		n.g.recordRefusedConnection(u, err, n.placedAt)
	case notrun.OtherInstance:
		// The addressed upstream no longer has this address, so the request did not reach it.
		n.unreached++
	case notrun.Refused:
		n.excludeAddress(u)
		if n.x.Responded() {
			n.refusedResumes++ // it has not run there, and a refusal at this point breaks the answer off
			break
		}
		n.sent++
	default:
		n.sent++
		n.mayHaveRun = true
		n.contestEnd(err)
	}
	n.exclude = append(n.exclude, n.upstream)
}

// contestEnd records that an attempt may have run and failed with err, if it was to confirm the end of the stream. What the stop of this
// gateway ends says nothing.
func (n *run) contestEnd(err error) {
	var unproven *UnprovenEndError
	if n.stream.unprovenEnd && !errors.As(err, &unproven) && !stopping(n.ctx) {
		n.stream.endContested = true
	}
}

// recordFailedSuccessors records what the successors of an attempt prove that were sent the request and failed.
func (n *run) recordFailedSuccessors(h *handovers) {
	for _, f := range h.failures {
		n.exclude = append(n.exclude, f.upstream.ID)
		n.arrived = true
		n.recordMalformed(f.err)
		if f.mayHaveRun() {
			n.sent++
			n.checkCrash(f.upstream, f.err, 0)
		}
	}
}

// recordMalformed counts a response that was refused for its form.
func (n *run) recordMalformed(err error) {
	if defect := httpclient.DefectOf(err); defect != "" {
		n.malformed = defect
		n.g.metrics.malformedResponse(n.r.service.Name, defect)
	}
}

// excludeAddress excludes an address at which a request that may run once was refused: a process that has refused a request may send
// a copy of its refusal after it got the same request again.
func (n *run) excludeAddress(u *catalog.Upstream) {
	if !n.r.route.Repeatable() {
		n.excludeAddresses = append(n.excludeAddresses, u.Address)
	}
}

// stopReason returns why the request must not be attempted again, or stopNone.
//
// A request that may run once is sent again only with a proof that none of its attempts has run or will; see package notrun.
func (n *run) stopReason(ctx context.Context, err error) stopCause {
	var closed *httpserver.ConnectionClosedError
	var moved *MovedError
	var long *LongBodyError
	var refused *PartRefusedError
	switch {
	case stopping(ctx):
		return stopStopping
	case errors.As(err, &closed) || context.Cause(ctx) == context.Canceled:
		return stopCaller
	case ctx.Err() != nil:
		return stopDeadline
	case n.mayHaveRun && !n.r.route.Repeatable():
		n.g.metrics.outcomeUnproven(n.r.service.Name)
		return stopMayHaveRun
	case n.x.Responded() && !n.r.route.Resumable:
		return stopBegun
	case n.sent >= n.r.route.Attempts || n.refusedResumes >= maxRefusedResumes:
		return stopAttempts
	case n.mustStop():
		return stopCrashes
	case errors.As(err, &refused):
		return stopPartRefused
	case n.trial != nil && n.sent > 0:
		return stopTrialEnded
	case n.unreached >= maxUnreached:
		return stopUnreached
	case errors.As(err, &moved) || errors.As(err, &long):
		return stopNone // the retry is already reserved
	case n.mayHaveRun && !n.x.Responded() && n.suspected(ctx):
		return stopPartsSuspected
	case n.arrived && !n.reserveRetry(ctx):
		n.g.logRetryDenied(n, err)
		return stopBudget
	}
	return stopNone
}

// finalError turns the error of the last attempt into the response to the caller.
func (n *run) finalError(ctx context.Context, err error, reason stopCause) error {
	n.stoppedBy = reason
	cause := fmt.Errorf("%s: %w", reason, err)
	var closed *httpserver.ConnectionClosedError
	switch {
	case !stopping(ctx) && (errors.As(err, &closed) || context.Cause(ctx) == context.Canceled):
		return failure.New(failure.CodeCancelled, cause)
	case n.unproven != nil && !n.x.Responded():
		n.recordFirstPiece()
		return n.unproven.respond(ctx, n)
	case n.endStands(reason):
		n.g.metrics.endNotConfirmed(n.r.service.Name, reason)
		return n.x.End()
	case n.bufferedFailure != nil && !n.x.Responded():
		n.relayedFailure = true
		return n.bufferedFailure.respond(ctx, n)
	case n.x.Responded():
		return failure.New(failure.CodeIncompleteAnswer, cause)
	case n.mayHaveRun && ctx.Err() != nil && !stopping(ctx):
		return failure.New(failure.CodeDeadlinePassed, cause)
	case n.mayHaveRun:
		return failure.New(failure.CodeUpstreamFailed, cause)
	case stopping(ctx):
		return failure.New(failure.CodeStopping, cause).WithRetryAfter(closingRetryAfter)
	}
	return failure.New(failure.CodeNoUpstream, cause).WithRetryAfter(refusedRetryAfter)
}

// stopping reports whether the request must end because this gateway stops.
func stopping(ctx context.Context) bool {
	var e *httpserver.StoppingError
	return errors.As(context.Cause(ctx), &e)
}

// refusedWhileWaiting returns the response to a request that was refused after it had been accepted.
func (n *run) refusedWhileWaiting(ctx context.Context, refused *PartRefusedError) error {
	if n.mayHaveRun || n.x.Responded() {
		return n.finalError(ctx, refused, stopPartRefused)
	}
	n.g.metrics.partRefused(n.r.service.Name)
	return refused.asFailure(time.Now())
}

// refusedRetryAfter is when a caller should retry whose request all upstreams refused: some requests finish meanwhile.
const refusedRetryAfter = 300 * time.Millisecond

// unplacedError turns the pool's refusal into the response to the caller. If the request may have run before, the
// response does not promise that it did not.
func (n *run) unplacedError(ctx context.Context, err error) error {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return failure.New(failure.CodeCancelled, err)
	case n.mayHaveRun || n.x.Responded():
		return n.finalError(ctx, err, stopNoPlace)
	}
	var none *dispatch.NoRegisteredUpstreamError
	var full *dispatch.OverloadedError
	var restricted *dispatch.RestrictedError
	var evacuated *dispatch.EvacuatedError
	var cannotFinish *dispatch.StoppingError
	switch {
	case errors.As(err, &cannotFinish) || stopping(ctx):
		return failure.New(failure.CodeStopping, err).WithRetryAfter(closingRetryAfter)
	case errors.As(err, &none):
		return failure.New(failure.CodeNoUpstream, err).WithRetryAfter(none.RetryAfter)
	case errors.As(err, &evacuated):
		n.g.metrics.evacuationRefused(n.r.service.Name)
		return failure.New(failure.CodeNoUpstream, err).WithRetryAfter(evacuated.RetryAfter)
	case errors.As(err, &restricted):
		n.g.metrics.coldRefused(n.r.service.Name, restricted)
		return failure.New(failure.CodeOverloaded, err).WithRetryAfter(restricted.RetryAfter)
	case errors.As(err, &full):
		return failure.New(failure.CodeOverloaded, err).WithRetryAfter(full.RetryAfter)
	}
	return failure.New(failure.CodeDeadlineUnmet, err).WithRetryAfter(refusedRetryAfter)
}

// outcomeOf returns what the result of an attempt indicates about its upstream.
func outcomeOf(ctx context.Context, err error) dispatch.Outcome {
	var closed *httpserver.ConnectionClosedError
	var refused *RefusedError
	var failed *FailedError
	var moved *MovedError
	var long *LongBodyError
	var unproven *UnprovenEndError
	var heldHeader *HeldHeaderError
	var partRefused *PartRefusedError
	switch {
	case err == nil || errors.As(err, &unproven):
		return dispatch.OutcomeOK
	case errors.As(err, &closed) || errors.As(err, &moved) || errors.As(err, &long) || errors.As(err, &heldHeader) || errors.As(err, &partRefused) || isUnwritten(err) || ctx.Err() != nil:
		return dispatch.OutcomeNone
	case errors.As(err, &refused) && refused.Proof == notrun.OtherInstance:
		return dispatch.OutcomeReplaced
	case errors.As(err, &refused) && refused.Proof == notrun.Refused:
		return dispatch.OutcomeRefused
	case errors.As(err, &failed):
		return dispatch.OutcomeFailed
	}
	return dispatch.OutcomeBroken
}
