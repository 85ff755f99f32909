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

// headerRequest names a request towards its caller, over all attempts.
const headerRequest = "Cardamomyoke-Request"

// retryLater is what a caller is told whose entry is stopping or cannot know its configuration.
const retryLater = time.Second

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

// serveRequest answers a request to a service once: with the whole answer, or with one typed failure.
func (e *Entry) serveRequest(ctx context.Context, x *httpserver.Exchange) {
	v := e.view.Load()
	if f := e.refusal(v, time.Now()); f != nil {
		e.metrics.answered("", f)
		x.Fail(f)
		return
	}
	r, err := readRequest(v.config, x.Req, time.Now())
	if err != nil {
		e.metrics.answered("", err)
		x.Fail(failure.From(err))
		return
	}
	r.id = uuid.Must(uuid.NewV7()).String()
	ctx, span := e.tracer.Start(ctx, "entry request", r.trace,
		attribute.String("service", r.service.GetName()), attribute.String("client", string(r.client)))
	r.trace = span.Header()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err = e.admitAndRun(ctx, x, r)
	span.End(err)
	e.metrics.answered(r.service.GetName(), err)
	if err != nil && !x.Responded() {
		x.Fail(failure.From(err), httpserver.Header{Name: headerRequest, Value: r.id})
	}
}

// refusal says why this entry takes no new work now, or nil.
func (e *Entry) refusal(v *view, now time.Time) *failure.Error {
	if v.config == nil || !e.config.Fresh(now) {
		return failure.New(failure.CodeStaleRevision, nil).WithRetryAfter(retryLater)
	}
	if !v.serving {
		return failure.New(failure.CodeStopping, nil).WithRetryAfter(retryLater)
	}
	return nil
}

// admitAndRun waits for the request's place and runs it.
func (e *Entry) admitAndRun(ctx context.Context, x *httpserver.Exchange, r *request) error {
	tokens := float64(r.promptTokens + r.outputTokens)
	if err := e.limits.Consume(r.client, tokens, time.Now()); err != nil {
		return err
	}
	p := e.view.Load().pools[ids.Service(r.service.GetName())]
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
		return failure.New(failure.CodeDeadlineUnmet, ctx.Err())
	}
	if err := ticket.Err(); err != nil {
		e.limits.Adjust(r.client, -tokens)
		return err
	}
	return e.attempts(ctx, x, r, p)
}

// attempts tries until the answer is whole or the retry session gives up.
func (e *Entry) attempts(ctx context.Context, x *httpserver.Exchange, r *request, p *pool) error {
	m := &modelAnswer{x: x, r: r, started: time.Now(), metrics: e.metrics}
	session := retry.NewSession(retry.DefaultRules(r.service.GetRepeatable(), r.chat != nil), p.budget, r.deadline)
	var exclude []ids.Upstream
	for {
		to, err := e.attempt(ctx, m, exclude)
		if err == nil {
			return nil
		}
		var gone *httpserver.ConnectionClosedError
		if errors.As(err, &gone) {
			return failure.New(failure.CodeCancelled, err)
		}
		if m.full() {
			m.finish = finishLength
			return m.complete(ctx)
		}
		d := session.Failed(retry.Attempt{Upstream: to, Err: err}, m.tokens, time.Now())
		if d.Action == retry.ActionGiveUp {
			return e.giveUp(ctx, m, d.Err)
		}
		e.metrics.retries.Inc()
		exclude = d.Exclude
		if err := pause(ctx, d.After); err != nil {
			return e.giveUp(ctx, m, failure.New(afterEnd(ctx), err))
		}
	}
}

func (e *Entry) giveUp(ctx context.Context, m *modelAnswer, f *failure.Error) error {
	if m.begun {
		m.fail(ctx, f)
	}
	return f
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attempt picks an upstream and runs one attempt there; it returns where.
func (e *Entry) attempt(ctx context.Context, m *modelAnswer, exclude []ids.Upstream) (ids.Upstream, error) {
	r := m.r
	v := e.view.Load()
	p := v.pools[ids.Service(r.service.GetName())]
	if p == nil {
		return "", failure.New(failure.CodeUnknownService, nil)
	}
	level, until := e.quarantine.Snapshot().Classify(time.Now(), r.print)
	if level == quarantine.Refused {
		return "", quarantine.Refusal(time.Now(), until)
	}
	// An attempt that broke off may have taken its upstream down; until that is known, its repetition must not run beside
	// another suspect, or one request could take down as many upstreams as it has attempts.
	if m.broken {
		level = max(level, quarantine.Suspected)
	}
	if level > quarantine.Clear {
		exclude = p.allBut(quarantine.AssignedUpstream(r.print, p.usable(exclude)))
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
	e.report(v, id, err)
	if err == nil {
		e.quarantine.Completed(time.Now(), r.print)
	}
	m.broken = m.broken || failure.CodeOf(err) == failure.CodeUpstreamFailed
	return id, err
}

func (e *Entry) runAttempt(ctx context.Context, v *view, c routing.Choice, m *modelAnswer, trace string) error {
	if m.r.chat == nil {
		answer, err := e.tryPlain(ctx, v, c, m.r, trace)
		if err != nil {
			return err
		}
		return answer.respond(m.x, m.r)
	}
	if err := e.tryModel(ctx, v, c, m, trace); err != nil {
		return err
	}
	return m.complete(ctx)
}

// report tells the control loop how an attempt ended, as evidence of the upstream's health.
func (e *Entry) report(v *view, id ids.Upstream, err error) {
	ev := evidence(v, id, err)
	if ev != nil {
		e.loop.Post(func(now time.Time) { e.state.tracker.Apply(ev, now) })
	}
}

func evidence(v *view, id ids.Upstream, err error) health.Event {
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
