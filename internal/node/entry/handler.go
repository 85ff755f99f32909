package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/health"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// headerRequest is the response header field with the id of the request, which is the same for all its attempts.
const headerRequest = "Cardamomyoke-Request"

// retryAfter is the retry delay sent to a caller while the entry is stopping or its configuration is stale.
const retryAfter = time.Second

func (e *Entry) serve(ctx context.Context, x *httpserver.Exchange) {
	path := string(x.Req.URI().PathOriginal())
	switch {
	case path == pathAddresses || path == pathHealth:
		e.serveGet(x, path)
	case path == pathChat || strings.HasPrefix(path, pathServices):
		e.serveRequest(ctx, x)
	default:
		x.Fail(fieldFailure(failure.CodeUnknownService, "path", nil))
	}
}

func (e *Entry) serveGet(x *httpserver.Exchange, path string) {
	if !x.Req.Header.IsGet() {
		x.Fail(failure.New(failure.CodeMethodNotAllowed, nil))
		return
	}
	if path == pathAddresses {
		e.serveAddresses(x)
		return
	}
	if !e.view.Load().serving {
		x.Fail(failure.New(failure.CodeStopping, nil))
		return
	}
	_ = x.Respond(fasthttp.StatusOK, nil, []byte("ok\n"))
}

// serveRequest responds exactly once to a request to a service: with the complete response or with one typed failure.
func (e *Entry) serveRequest(ctx context.Context, x *httpserver.Exchange) {
	v := e.view.Load()
	if f := e.refusal(v, time.Now()); f != nil {
		e.metrics.countResponse("", f)
		x.Fail(f)
		return
	}
	r, err := readRequest(v.config, x.Req, time.Now())
	if err != nil {
		e.metrics.countResponse("", err)
		x.Fail(failure.From(err))
		return
	}
	r.id = uuid.Must(uuid.NewV7()).String()
	ctx, span := e.tracer.Start(ctx, "entry request", r.trace,
		attribute.String("service", r.service.GetName()), attribute.String("client", string(r.client)))
	r.trace = span.Header()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err = e.admitAndRun(ctx, v, x, r)
	span.End(err)
	e.metrics.countResponse(r.service.GetName(), err)
	if err != nil && !x.Responded() {
		x.Fail(failure.From(err), httpserver.Header{Name: headerRequest, Value: r.id})
	}
}

// refusal returns why this entry accepts no new work now, or nil if it does.
func (e *Entry) refusal(v *view, now time.Time) *failure.Error {
	if v.config == nil || !e.config.Fresh(now) {
		return failure.New(failure.CodeStaleRevision, nil).WithRetryAfter(retryAfter)
	}
	if !v.serving {
		return failure.New(failure.CodeStopping, nil).WithRetryAfter(retryAfter)
	}
	return nil
}

// admitAndRun waits until the request is admitted, then runs it.
func (e *Entry) admitAndRun(ctx context.Context, v *view, x *httpserver.Exchange, r *request) error {
	p := v.pools[ids.Service(r.service.GetName())]
	if p == nil {
		return failure.New(failure.CodeNoUpstream, nil).WithRetryAfter(retryAfter)
	}
	tokens := float64(r.promptTokens + r.outputTokens)
	if err := e.limits.Consume(r.client, tokens, time.Now()); err != nil {
		return err
	}
	ticket := p.gate.Submit(admission.Request{
		ID:       e.sequence.Add(1),
		Client:   r.client,
		Class:    r.service.GetClass(),
		Tokens:   tokens,
		Run:      time.Duration(p.stepTime * float64(r.outputTokens) * float64(time.Second)),
		Deadline: r.deadline,
	}, time.Now())
	defer func() { ticket.Done(tokens, time.Now()) }()
	select {
	case <-ticket.Decided():
	case <-ctx.Done():
		e.limits.Adjust(r.client, -tokens)
		return failure.New(failure.CodeDeadlineUnmet, ctx.Err())
	}
	if err := ticket.Err(); err != nil {
		e.limits.Adjust(r.client, -tokens)
		return err
	}
	return e.runWithRetries(ctx, x, r, p)
}

// runWithRetries runs attempts until the response is complete or the retry session ends.
func (e *Entry) runWithRetries(ctx context.Context, x *httpserver.Exchange, r *request, p *pool) error {
	m := &modelResponse{x: x, r: r, startedAt: time.Now(), metrics: e.metrics}
	session := retry.NewSession(retry.DefaultRules(r.service.GetRepeatable(), r.chat != nil), p.budget, r.deadline)
	var exclude []ids.Upstream
	for {
		to, err := e.attemptOnce(ctx, m, exclude)
		if err == nil {
			return nil
		}
		var closed *httpserver.ConnectionClosedError
		if errors.As(err, &closed) {
			return failure.New(failure.CodeCancelled, err)
		}
		if m.atTokenLimit() {
			m.finish = finishReasonLength
			return m.complete(ctx)
		}
		d := session.Failed(retry.FailedAttempt{Upstream: to, Err: err}, m.tokens, time.Now())
		e.logFailedAttempt(r, to, err, d)
		if d.Action == retry.ActionGiveUp {
			return e.abort(ctx, m, d.Err)
		}
		exclude = d.Exclude
		if err := sleep(ctx, d.After); err != nil {
			e.logResend(r, "", err, "request given up", "code", interruptedCode(ctx))
			return e.abort(ctx, m, failure.New(interruptedCode(ctx), err))
		}
	}
}

func (e *Entry) abort(ctx context.Context, m *modelResponse, f *failure.Error) error {
	if m.streamStarted {
		m.fail(ctx, f)
	}
	return f
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attemptOnce picks an upstream, runs one attempt on it and returns the upstream.
func (e *Entry) attemptOnce(ctx context.Context, m *modelResponse, exclude []ids.Upstream) (ids.Upstream, error) {
	r := m.r
	v := e.view.Load()
	p := v.pools[ids.Service(r.service.GetName())]
	if p == nil {
		return "", failure.New(failure.CodeUnknownService, nil)
	}
	level, until := e.quarantine.Snapshot().Classify(time.Now(), r.fingerprint)
	if level == quarantine.Refused {
		return "", quarantine.Refusal(time.Now(), until)
	}
	// An interrupted attempt may have crashed its upstream. Until the cause is determined, the retry must not run on the
	// same upstream as another suspect, or one request could crash as many upstreams as it has attempts.
	if m.interrupted {
		level = max(level, quarantine.Suspected)
	}
	if level > quarantine.Clear {
		exclude = p.allBut(quarantine.AssignedUpstream(r.fingerprint, p.usable(exclude)))
	}
	r.suspicion = int(level)
	choice, err := p.picker.Pick(&routing.Request{
		FirstClass: r.class.GetRank() == 0, Blocks: r.blocks, BlockTokens: blockBytes / bytesPerToken, PromptTokens: r.promptTokens,
		OutputTokens: r.outputTokens - m.tokens, Exclude: exclude, Rand: rand.Uint64(),
	}, time.Now())
	if err != nil {
		return "", err
	}
	id := choice.Upstream.ID
	spanCtx, span := e.tracer.Start(ctx, "entry attempt", r.trace, attribute.String("upstream", string(id)))
	err = e.runAttempt(spanCtx, v, choice, m, span.Header())
	span.End(err)
	e.reportOutcome(v, id, err)
	if err == nil {
		e.quarantine.Completed(time.Now(), r.fingerprint)
	}
	m.interrupted = m.interrupted || failure.CodeOf(err) == failure.CodeUpstreamFailed
	return id, err
}

func (e *Entry) runAttempt(ctx context.Context, v *view, c routing.Choice, m *modelResponse, trace string) error {
	if m.r.chat == nil {
		res, err := e.attemptPlain(ctx, v, c, m.r, trace)
		if err != nil {
			return err
		}
		return res.respond(ctx, m.x, m.r)
	}
	if err := e.attemptModel(ctx, v, c, m, trace); err != nil {
		return err
	}
	return m.complete(ctx)
}

// reportOutcome posts the outcome of an attempt to the control loop, as evidence of the upstream's health.
func (e *Entry) reportOutcome(v *view, id ids.Upstream, err error) {
	ev := healthEvent(v, id, err)
	if ev != nil {
		e.loop.Post(func(now time.Time) { e.state.tracker.Apply(ev, now) })
	}
}

func healthEvent(v *view, id ids.Upstream, err error) health.Event {
	if err == nil {
		return health.Responded{Upstream: id}
	}
	f := failure.From(err)
	switch {
	case f.Code == failure.CodeStopping:
		return health.RefusedDraining{Upstream: id, Incarnation: v.incarnations[id]}
	case f.Code == failure.CodeUpstreamFailed || f.Code == failure.CodeNoUpstream && f.Proof != failure.ProofRefusedBeforeStart:
		return health.Failed{Upstream: id}
	}
	return nil
}
