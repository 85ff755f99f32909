package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

const (
	// fenceTimeout bounds a fence request, by which a slot promises never to start an attempt.
	fenceTimeout = 500 * time.Millisecond
	// maxFailureBytes is the maximum number of bytes read of the body of a typed failure.
	maxFailureBytes = 16 << 10
)

// outgoingAttempt is an attempt at a request that the entry sends to a slot.
type outgoingAttempt struct {
	id     ids.Attempt
	to     *routing.Upstream
	header attempt.Header
	body   []byte
	mime   string
	flight *routing.Flight
}

// newAttempt prepares an attempt on the upstream of the routing choice.
func (e *Entry) newAttempt(r *request, v *view, c routing.Choice, body []byte, resume int, trace string) *outgoingAttempt {
	id := ids.Attempt{Entry: e.incarnation, Seq: e.sequence.Add(1)}
	r.latest = sentAttempt{id, c.Upstream.Address}
	return &outgoingAttempt{
		id: id,
		to: c.Upstream,
		header: attempt.Header{
			Attempt:     id,
			Incarnation: v.incarnations[c.Upstream.ID],
			Service:     ids.Service(r.service.GetName()),
			Client:      r.client,
			Revision:    r.revision,
			Remaining:   time.Until(r.deadline),
			Priority:    r.class.GetRank(),
			Key:         r.key,
			Resume:      resume,
			Output:      max(0, r.outputTokens-resume),
			Suspicion:   r.suspicion,
			Method:      r.method,
			Target:      r.target,
			Trace:       trace,
		},
		body:   body,
		mime:   r.mime,
		flight: c.Upstream.Work.Start(c.Estimate),
	}
}

func (t *outgoingAttempt) request() *fasthttp.Request {
	req := &fasthttp.Request{} // not pooled: after an early answer it is still being written
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(attempt.PathRun)
	req.Header.SetHost("slot")
	if t.mime != "" {
		req.Header.SetContentType(t.mime)
	}
	t.header.Set(&req.Header)
	req.SetBodyRaw(t.body)
	return req
}

// send sends the attempt and returns the slot's response, which the caller must release. A refusal and a response to
// another attempt are returned as errors. Errors: *failure.Error.
func (e *Entry) send(ctx context.Context, t *outgoingAttempt) (*httpclient.Response, error) {
	req := t.request()
	res, err := e.client.Do(ctx, t.to.Address, e.exchange(req, t))
	if err != nil {
		return nil, e.resolveLost(ctx, t, err)
	}
	if !res.Identified {
		f := readFailure(res)
		res.Release(false)
		return nil, e.confirmRefusal(t, f)
	}
	if code := res.Header.Peek(httpserver.HeaderFailure); len(code) > 0 {
		f := readFailure(res)
		res.Release(true)
		return nil, f
	}
	return res, nil
}

// exchange returns the request of an attempt with its id. A failure may lack the id, if the slot could not parse the attempt.
func (e *Entry) exchange(req *fasthttp.Request, t *outgoingAttempt) httpclient.Exchange {
	return httpclient.Exchange{
		Request:   req,
		ID:        t.id.String(),
		ReadID:    readAttemptID,
		MayLackID: func(h *fasthttp.ResponseHeader) bool { return h.StatusCode() >= fasthttp.StatusBadRequest },
		OnForeign: func(*fasthttp.ResponseHeader) { e.metrics.mismatches.Inc() },
		Single:    singleFields,
	}
}

// singleFields decide what a slot's response is; it may have one each.
var singleFields = []string{attempt.HeaderAttempt, attempt.HeaderFence, attempt.HeaderEndUnproven, httpserver.HeaderFailure}

func readAttemptID(h *fasthttp.ResponseHeader) string { return string(h.Peek(attempt.HeaderAttempt)) }

func readFenceID(h *fasthttp.ResponseHeader) string { return string(h.Peek(attempt.HeaderFence)) }

// readFailure parses a slot's typed refusal. An incomplete refusal is not trusted: an unknown code, or a "not run" code
// without proof, counts as a failure after the start.
func readFailure(res *httpclient.Response) *failure.Error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxFailureBytes))
	if err != nil {
		return failure.New(failure.CodeUpstreamFailed, err)
	}
	var in httpserver.FailureBody
	if err := json.Unmarshal(body, &in); err != nil {
		return failure.New(failure.CodeUpstreamFailed, err)
	}
	if _, known := failure.Codes()[in.Error.Code]; !known {
		return failure.New(failure.CodeUpstreamFailed, nil)
	}
	f := failure.New(in.Error.Code, nil)
	if f.Code.Meaning().NotRun && in.Error.Proof == failure.ProofNone {
		return failure.New(failure.CodeUpstreamFailed, nil)
	}
	f.Proof = in.Error.Proof
	f.RetryAfter = time.Duration(in.Error.RetryAfterMS) * time.Millisecond
	return f
}

// resolveLost determines the outcome of an attempt whose connection failed, and returns it as a failure.
func (e *Entry) resolveLost(ctx context.Context, t *outgoingAttempt, err error) error {
	var dial *httpclient.DialError
	if errors.As(err, &dial) {
		return failure.New(failure.CodeNoUpstream, err)
	}
	if e.fence(t) {
		return failure.New(failure.CodeNoUpstream, err).WithProof(failure.ProofFenced)
	}
	return failure.New(interruptedCode(ctx), err)
}

// confirmRefusal returns a refusal that bears no id with the proof that the slot's fence gives. The refusal itself may be meant for
// another request, or come from another process at the slot's address.
func (e *Entry) confirmRefusal(t *outgoingAttempt, f *failure.Error) *failure.Error {
	if !f.Code.Meaning().NotRun {
		return f
	}
	if !e.fence(t) {
		return failure.New(failure.CodeUpstreamFailed, f)
	}
	return f.WithProof(failure.ProofFenced)
}

// interruptedCode returns the failure code of an attempt that may have run: the deadline or the cancellation if ctx is
// done for one of these, otherwise a failure of the upstream.
func interruptedCode(ctx context.Context) failure.Code {
	var stopping *httpserver.StoppingError
	switch {
	case errors.As(context.Cause(ctx), &stopping):
		return failure.CodeUpstreamFailed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure.CodeDeadlinePassed
	case ctx.Err() != nil:
		return failure.CodeCancelled
	}
	return failure.CodeUpstreamFailed
}

// fence requests the slot's promise never to start the attempt, and reports whether the slot gave it. Only that promise
// proves that the attempt did not run.
func (e *Entry) fence(t *outgoingAttempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(attempt.PathFence)
	req.Header.SetHost("slot")
	req.Header.Set(attempt.HeaderAttempt, t.id.String())
	req.Header.Set(attempt.HeaderIncarnation, string(t.header.Incarnation))
	res, err := e.client.Do(ctx, t.to.Address, httpclient.Exchange{Request: req, ID: t.id.String(), ReadID: readFenceID, Single: singleFields})
	if err != nil {
		return false
	}
	promised := res.Header.StatusCode() == fasthttp.StatusOK
	res.ReleaseUnread()
	return promised
}
