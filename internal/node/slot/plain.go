package slot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
)

// maxAnswerBytes is the largest answer of a plain service that is passed on.
const maxAnswerBytes = 4 << 20

// plainAnswer is a plain service's whole answer.
type plainAnswer struct {
	status int
	mime   string
	body   []byte
}

// forwardPlain runs an attempt on the plain service and passes the answer on once it is whole: a half answer would
// leave the caller with a document that looks complete.
func (s *Slot) forwardPlain(ctx context.Context, x *httpserver.Exchange, j *job) error {
	a, err := s.callPlain(ctx, j)
	if err != nil {
		return err
	}
	return respondPlain(x, j, a)
}

func respondPlain(x *httpserver.Exchange, j *job, a *plainAnswer) error {
	return x.Respond(a.status, []httpserver.Header{own(j.Attempt), {Name: "Content-Type", Value: a.mime}}, a.body)
}

func (s *Slot) callPlain(ctx context.Context, j *job) (*plainAnswer, error) {
	flight := s.work.start(j.Attempt.Entry, estimateOf(j), time.Now())
	defer flight.End()
	sent := time.Now()
	req := plainRequest(j)
	res, err := s.client.Do(ctx, s.settings.Upstream.Address, req)
	fasthttp.ReleaseRequest(req) // it is written in full, or given up
	if err != nil {
		return nil, s.upstreamError(ctx, err)
	}
	trusted := false
	defer func() { res.Release(trusted) }()
	a, err := readPlain(j, res)
	if err != nil {
		return nil, failure.New(failure.CodeUpstreamFailed, err)
	}
	trusted = true
	s.speed.step.add(time.Since(sent))
	s.steps.Add(1)
	return a, nil
}

func plainRequest(j *job) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(j.Method)
	req.SetRequestURI(j.Target)
	req.Header.SetHost(string(j.Service))
	req.Header.Set(engineHeaderID, j.Attempt.String())
	if j.mime != "" {
		req.Header.SetContentType(j.mime)
	}
	if j.Key != "" {
		req.Header.Set(attempt.HeaderKey, j.Key)
	}
	if j.Trace != "" {
		req.Header.Set(attempt.HeaderTrace, j.Trace)
	}
	req.SetBodyRaw(j.body)
	return req
}

func readPlain(j *job, res *httpclient.Response) (*plainAnswer, error) {
	// A service that echoes the request's id lets a crossed answer be seen; one that does not is trusted to keep the
	// order of its connection, which httpclient never shares.
	if id := string(res.Header.Peek(engineHeaderID)); id != "" && id != j.Attempt.String() {
		return nil, &attempt.MismatchError{Attempt: j.Attempt, Want: "its own id", Got: id}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, &attempt.TruncatedError{Attempt: j.Attempt, Cause: err}
	}
	if len(body) > maxAnswerBytes {
		return nil, &AnswerSizeError{maxAnswerBytes}
	}
	return &plainAnswer{res.Header.StatusCode(), string(res.Header.ContentType()), body}, nil
}

// AnswerSizeError says that an answer is larger than is passed on.
type AnswerSizeError struct{ Limit int }

// Error implements error.
func (e *AnswerSizeError) Error() string { return fmt.Sprintf("answer is over %d bytes", e.Limit) }

// drain reads what follows an answer's last event; more than the end marker is not expected.
func drain(res *httpclient.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(res.Body, 1<<10))
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("end of answer: %w", err)
	}
	return nil
}
