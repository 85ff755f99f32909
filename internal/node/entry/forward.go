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
	// fenceTimeout bounds the question whether an attempt started.
	fenceTimeout = 500 * time.Millisecond
	// maxFailureBytes is the largest body of a typed failure that is read.
	maxFailureBytes = 16 << 10
)

// try is one attempt at a request.
type try struct {
	id     ids.Attempt
	to     *routing.Upstream
	header attempt.Header
	body   []byte
	mime   string
	flight *routing.Flight
}

// newTry prepares an attempt at the upstream that was picked.
func (e *Entry) newTry(r *request, v *view, c routing.Choice, body []byte, resume int, trace string) *try {
	id := ids.Attempt{Entry: e.incarnation, Seq: e.sequence.Add(1)}
	return &try{
		id: id,
		to: c.Upstream,
		header: attempt.Header{
			Attempt:     id,
			Incarnation: v.incarnations[c.Upstream.ID],
			Service:     ids.Service(r.service.GetName()),
			Client:      r.client,
			Revision:    r.revision,
			Remaining:   time.Until(r.deadline),
			Rank:        r.class.GetRank(),
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

func (t *try) request() *fasthttp.Request {
	req := fasthttp.AcquireRequest()
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

// send sends the attempt and returns the slot's answer, which is neither a refusal nor another attempt's. The caller
// must release it. Errors: *failure.Error.
func (e *Entry) send(ctx context.Context, t *try) (*httpclient.Response, error) {
	req := t.request()
	res, err := e.client.Do(ctx, t.to.Address, req)
	fasthttp.ReleaseRequest(req) // it is written in full, or given up
	if err != nil {
		return nil, e.lost(ctx, t, err)
	}
	if got := string(res.Header.Peek(attempt.HeaderAttempt)); got != t.id.String() {
		defer res.Release(false)
		return nil, e.foreign(res, t, got)
	}
	if code := res.Header.Peek(httpserver.HeaderFailure); len(code) > 0 {
		f := readFailure(res)
		res.Release(true)
		return nil, f
	}
	return res, nil
}

// foreign judges an answer without the attempt's id: either the slot could not read the attempt, or the answer is
// another's. The latter is dropped with its connection; what became of the attempt is then not known.
func (e *Entry) foreign(res *httpclient.Response, t *try, got string) error {
	if got == "" && res.Header.StatusCode() >= fasthttp.StatusBadRequest {
		return readFailure(res)
	}
	e.metrics.mismatches.Inc()
	return failure.New(failure.CodeUpstreamFailed, &attempt.MismatchError{Attempt: t.id, Want: "its own id", Got: got})
}

// readFailure reads a slot's typed refusal. Only what the slot says in full is believed: an unknown code or a refusal
// without its proof counts as a failure after the start.
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

// lost finds out what became of an attempt whose connection failed.
func (e *Entry) lost(ctx context.Context, t *try, err error) error {
	var dial *httpclient.DialError
	if errors.As(err, &dial) {
		return failure.New(failure.CodeNoUpstream, err)
	}
	if e.fence(t) {
		return failure.New(failure.CodeNoUpstream, err).WithProof(failure.ProofFenced)
	}
	return failure.New(afterEnd(ctx), err)
}

// afterEnd is the code of an attempt that may have run and whose context may have ended.
func afterEnd(ctx context.Context) failure.Code {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure.CodeDeadlinePassed
	case ctx.Err() != nil:
		return failure.CodeCancelled
	}
	return failure.CodeUpstreamFailed
}

// fence asks the slot to promise never to start the attempt; only that promise is proof that it did not run.
func (e *Entry) fence(t *try) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(attempt.PathFence)
	req.Header.SetHost("slot")
	req.Header.Set(attempt.HeaderAttempt, t.id.String())
	req.Header.Set(attempt.HeaderIncarnation, string(t.header.Incarnation))
	res, err := e.client.Do(ctx, t.to.Address, req)
	if err != nil {
		return false
	}
	own := string(res.Header.Peek(attempt.HeaderAttempt)) == t.id.String()
	promised := own && res.Header.StatusCode() == fasthttp.StatusOK
	_, err = io.Copy(io.Discard, res.Body)
	res.Release(own && err == nil)
	return promised
}
