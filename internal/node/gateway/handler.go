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
	// notReadyRetryAfter is when a caller should retry if this gateway lacks its configuration, a route, a key or a
	// service; starting takes less.
	notReadyRetryAfter = 500 * time.Millisecond
	// closingRetryAfter is when a caller should retry, at another address, after this gateway refused it because it is
	// about to exit.
	closingRetryAfter = 50 * time.Millisecond
	// noService is the service in the metrics of requests that are refused before any attempt.
	noService = ""
)

// request is a caller's request after all checks that need no upstream.
type request struct {
	call    Call
	route   *catalog.Route
	service *catalog.Service
	client  ids.Client
	// priority is that of the client account, or else that of the route.
	priority int
	// revision is the version of the configuration that the request works from.
	revision ids.Revision
	arrived  time.Time
	// deadline is when the caller must have the final response.
	deadline time.Time
}

// serve handles one request of a caller.
func (g *Gateway) serve(ctx context.Context, x *httpserver.Exchange) {
	now := time.Now()
	paused := g.pauses.Observe(now)
	stood := stoodUnread(x, paused, now)
	g.awaitStartup(ctx, x.Req)
	v := g.view.Load()
	ctx, span := g.tracer.Start(ctx, "gateway request", string(x.Req.Header.Peek(tracing.HeaderName)))
	r, err := g.readRequest(v, x.Req, now.Add(-stood))
	if paused > 0 {
		g.logPaused(r, paused, stood)
	}
	if err == nil {
		span.SetAttributes(attribute.String("attempt", r.call.Attempt), attribute.String("service", string(r.service.Name)))
		err = g.runRequest(ctx, v, x, r, span.Header())
	} else {
		g.refuse(x, v, r, err)
	}
	span.End(err)
}

// stoodUnread returns how long a request stood unread that was read at now, soon after this process was paused for a while. One that came
// after the pause has all of its time left; if the system does not tell when it came, it counts as one that came when the pause began.
func stoodUnread(x *httpserver.Exchange, paused time.Duration, now time.Time) time.Duration {
	if paused == 0 {
		return 0
	}
	age, known := x.SinceArrival()
	if !known {
		return paused
	}
	return min(paused, max(0, age-time.Since(now)))
}

// runRequest runs the attempts of an accepted request and responds to the caller; trace is the trace context for the
// next hop.
func (g *Gateway) runRequest(ctx context.Context, v *view, x *httpserver.Exchange, r *request, trace string) error {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	g.suspects.parts.seen(r.call.SharedParts)
	run := newRun(g, v, x, r)
	run.trace = trace
	err := run.runAttempts(ctx)
	run.recordRunTime(ctx, time.Now())
	g.logOutcome(run, err)
	if err != nil && !x.Responded() {
		g.respondFailure(x, r, err)
	}
	return err
}

// readRequest checks a request that arrived at the given time. It returns *failure.Error; the request is never nil.
func (g *Gateway) readRequest(v *view, in *fasthttp.Request, arrived time.Time) (*request, error) {
	r := &request{arrived: arrived}
	call, err := g.dialect.ReadCall(&in.Header)
	r.call = call
	switch {
	case err != nil:
		return r, failure.New(failure.CodeMalformed, err)
	case v.config == nil:
		return r, failure.New(failure.CodeStaleRevision, nil).WithRetryAfter(notReadyRetryAfter)
	case len(call.SharedParts) > 0 && !g.knowsParts():
		return r, failure.New(failure.CodeStaleRevision, nil).WithRetryAfter(notReadyRetryAfter)
	case v.state == stateClosing:
		return r, failure.New(failure.CodeStopping, nil).WithRetryAfter(closingRetryAfter)
	}
	r.revision = v.config.Revision
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

// notFoundError returns an error for a route or key that does not exist, or that this gateway may not have received
// yet.
//
// A gateway that has lost the store, or to which peers have announced a newer configuration, may lack a new route.
// Callers treat a 404 as final, so the error requests a retry instead.
func (g *Gateway) notFoundError(v *view, code failure.Code) error {
	if !v.storeUp || g.peers.replicaLag(g.configFollower.Replica, time.Now()) > 0 {
		return failure.New(failure.CodeStaleRevision, failure.New(code, nil)).WithRetryAfter(notReadyRetryAfter)
	}
	return failure.New(code, nil)
}

// pickService returns a service at random by weight.
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

// refuse responds to a request that is refused before any attempt.
func (g *Gateway) refuse(x *httpserver.Exchange, v *view, r *request, err error) {
	g.logRefused(x, v, r, err)
	g.metrics.requestDone(noService, err, time.Since(r.arrived).Seconds())
	g.respondFailure(x, r, err)
}

// respondFailure sends a typed failure to the caller.
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

// serveDirectory returns the addresses of gateways that callers may use.
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

// directoryTTL is how long callers may cache a directory response.
func (g *Gateway) directoryTTL() time.Duration {
	return min(g.Settings().Bounds.MaxDirectoryTTL.Std(), maxDirectoryTTL)
}

// maxDirectoryTTL is short, so that callers soon stop using a dead host; a directory request costs them a millisecond
// or two.
const maxDirectoryTTL = time.Second

// serveReadiness reports whether this gateway accepts requests.
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
