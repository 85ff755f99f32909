package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// notReadyRetryAfter is when a caller may come back to a gateway that does not know its configuration: a start takes less.
	notReadyRetryAfter = 500 * time.Millisecond
	// closingRetryAfter is when a caller may come back, at another address, that met a gateway which is about to end.
	closingRetryAfter = 50 * time.Millisecond
	// noService is the budget's and metrics' name for requests that no route was found for.
	noService = ""
)

// request is a caller's request after all checks that need no upstream.
type request struct {
	call    Call
	route   *catalog.Route
	service *catalog.Service
	client  ids.Client
	// priority is the client account's, or else the route's.
	priority int
	// revision is the configuration that the request works from.
	revision ids.Revision
	arrived  time.Time
	// deadline is when the caller must have its final answer.
	deadline time.Time
}

// serve answers one request of a caller, once.
func (g *Gateway) serve(ctx context.Context, x *httpserver.Exchange) {
	now := time.Now()
	paused := g.pauses.Observe(now)
	g.awaitStartup(ctx, x.Req)
	v := g.view.Load()
	ctx, span := g.tracer.Start(ctx, "gateway request", string(x.Req.Header.Peek(tracing.HeaderName)))
	r, err := g.readRequest(v, x.Req, now.Add(-paused))
	if paused > 0 {
		g.logPaused(r, paused)
	}
	if err == nil {
		span.Note(attribute.String("attempt", r.call.Attempt), attribute.String("service", string(r.service.Name)))
		err = g.runRequest(ctx, v, x, r, span.Header())
	} else {
		g.refuse(x, v, r, err)
	}
	span.End(err)
}

// runRequest tries a request that may be tried; trace is its trace context for the next hop.
func (g *Gateway) runRequest(ctx context.Context, v *view, x *httpserver.Exchange, r *request, trace string) error {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	run := newRun(g, v, x, r)
	run.trace = trace
	err := run.runAttempts(ctx)
	g.logOutcome(run, err)
	if err != nil && !x.Responded() {
		g.respondFailure(x, r, err)
	}
	return err
}

// readRequest checks a request that arrived at a time. Errors: *failure.Error; the request is never nil.
func (g *Gateway) readRequest(v *view, in *fasthttp.Request, arrived time.Time) (*request, error) {
	r := &request{arrived: arrived}
	call, err := g.dialect.ReadCall(&in.Header)
	r.call = call
	switch {
	case err != nil:
		return r, failure.New(failure.CodeMalformed, err)
	case v.config == nil:
		return r, failure.New(failure.CodeStaleRevision, nil).WithRetryAfter(notReadyRetryAfter)
	case v.state == stateClosing:
		return r, failure.New(failure.CodeStopping, nil).WithRetryAfter(closingRetryAfter)
	}
	r.revision = v.config.Version
	path, _, _ := bytes.Cut(in.Header.RequestURI(), []byte("?"))
	r.route = v.config.Route(string(in.Header.Host()), string(path))
	if r.route == nil {
		return r, g.notFoundError(v, failure.CodeUnknownService)
	}
	r.priority = r.route.Priority
	if v.config.NeedsKey(r.route) {
		account := v.config.Account(call.Key)
		if account == nil {
			return r, g.notFoundError(v, failure.CodeUnknownKey)
		}
		r.client = account.Name
		if account.HasPriority {
			r.priority = account.Priority
		}
	}
	r.service = v.config.Services[pickService(r.route.Services)]
	if r.service == nil {
		return r, failure.New(failure.CodeNoUpstream, nil).WithRetryAfter(notReadyRetryAfter)
	}
	r.deadline = arrived.Add(r.route.Timeout)
	if call.HasRemaining && call.Remaining < r.route.Timeout {
		r.deadline = arrived.Add(call.Remaining)
	}
	if !time.Now().Before(r.deadline) {
		return r, failure.New(failure.CodeDeadlinePassed, nil)
	}
	return r, nil
}

// notFoundError says that a route or key does not exist, or only that it is not known here.
//
// A node that the store turns away, or that others have told of a newer configuration, may not know a new route yet. Callers
// take a 404 as final, so it asks them to come back instead.
func (g *Gateway) notFoundError(v *view, code failure.Code) error {
	if !v.storeUp || g.peers.replicaLag(g.config.Replica, time.Now()) > 0 {
		return failure.New(failure.CodeStaleRevision, failure.New(code, nil)).WithRetryAfter(notReadyRetryAfter)
	}
	return failure.New(code, nil)
}

// pickService draws a destination by weight.
func pickService(list []catalog.WeightedService) ids.Service {
	sum := 0
	for _, s := range list {
		sum += max(0, s.Weight)
	}
	if sum == 0 {
		return list[0].Service
	}
	n := rand.IntN(sum)
	for _, s := range list {
		if n -= max(0, s.Weight); n < 0 {
			return s.Service
		}
	}
	return list[0].Service
}

// refuse answers a request that did not come as far as being tried.
func (g *Gateway) refuse(x *httpserver.Exchange, v *view, r *request, err error) {
	g.logRefused(v, r, err)
	g.metrics.requestDone(noService, err, time.Since(r.arrived).Seconds())
	g.respondFailure(x, r, err)
}

// respondFailure answers with a typed failure.
func (g *Gateway) respondFailure(x *httpserver.Exchange, r *request, err error) {
	f := *failure.From(err)
	headers := []httpserver.Header{}
	if r.call.Attempt != "" {
		headers = append(headers, httpserver.Header{Name: g.dialect.AttemptHeader(), Value: r.call.Attempt})
	}
	if f.RetryAfter > 0 {
		name, value := g.dialect.RetryAfter(f.RetryAfter)
		headers = append(headers, httpserver.Header{Name: name, Value: value})
		f.RetryAfter = 0
	}
	if f.Code == failure.CodeStopping {
		x.Close()
	}
	x.Fail(&f, headers...)
}

// serveDirectory answers callers that ask which addresses to use.
func (g *Gateway) serveDirectory(_ context.Context, x *httpserver.Exchange) {
	path, _, _ := bytes.Cut(x.Req.Header.RequestURI(), []byte("?"))
	if string(path) != g.dialect.DirectoryPath() {
		x.Fail(failure.New(failure.CodeUnknownService, nil))
		return
	}
	addresses := g.peers.addresses(time.Now())
	if len(addresses) == 0 {
		x.Fail(failure.New(failure.CodeNoUpstream, nil))
		return
	}
	body, err := g.dialect.EncodeDirectory(addresses, g.directoryTTL())
	if err != nil {
		x.Fail(failure.New(failure.CodeInternal, err))
		return
	}
	_ = x.Respond(fasthttp.StatusOK, []httpserver.Header{{Name: "Content-Type", Value: "application/json"}}, body)
}

// directoryTTL is for how long callers may keep an answer of the directory.
func (g *Gateway) directoryTTL() time.Duration {
	return min(g.Settings().Bounds.MaxKeep.Std(), maxDirectoryTTL)
}

// maxDirectoryTTL is short, so that callers soon stop using a host that died; asking costs them a millisecond or two.
const maxDirectoryTTL = time.Second

// serveReadiness answers whether this gateway takes requests.
func (g *Gateway) serveReadiness(_ context.Context, x *httpserver.Exchange) {
	path, _, _ := bytes.Cut(x.Req.Header.RequestURI(), []byte("?"))
	if string(path) != g.dialect.ReadinessPath() {
		x.Fail(failure.New(failure.CodeUnknownService, nil))
		return
	}
	state := g.view.Load().state
	if state != stateReady {
		x.Fail(failure.New(failure.CodeStopping, nil))
		return
	}
	_ = x.Respond(fasthttp.StatusOK, nil, []byte(state+"\n"))
}
