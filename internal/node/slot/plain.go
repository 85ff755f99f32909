package slot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/completeness"
)

// maxResponseBytes is the maximum size of an upstream's response that is read in full.
const maxResponseBytes = 4 << 20

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	status int
	mime   string
	body   []byte
	// endUnproven is set if only the close of the upstream's connection tells that the body is complete.
	endUnproven bool
}

// forwardPlain runs an attempt on the plain service and forwards the response once it is complete: a truncated response
// would look like a complete document to the caller.
func (s *Slot) forwardPlain(ctx context.Context, x *httpserver.Exchange, j *incomingAttempt) error {
	res, err := s.callPlain(ctx, j)
	if err != nil {
		return err
	}
	return respondPlain(x, j, res)
}

func respondPlain(x *httpserver.Exchange, j *incomingAttempt, res *plainResponse) error {
	headers := []httpserver.Header{attemptHeader(j.Attempt), {Name: "Content-Type", Value: res.mime}}
	if res.endUnproven {
		headers = append(headers, httpserver.Header{Name: attempt.HeaderEndUnproven, Value: "1"})
	}
	return x.Respond(res.status, headers, res.body)
}

func (s *Slot) callPlain(ctx context.Context, j *incomingAttempt) (*plainResponse, error) {
	flight := s.work.start(j.Attempt.Entry, estimateOf(j), time.Now())
	defer flight.End()
	sent := time.Now()
	req := plainRequest(j)
	res, err := s.client.Do(ctx, s.settings.Upstream.Address, exchange(req, j))
	if err != nil {
		return nil, s.upstreamError(ctx, err)
	}
	reusable := false
	defer func() { res.Release(reusable) }()
	out, err := readPlain(j, res)
	if err == nil && res.CloseDelimited {
		err = s.checkEnd(ctx, j, out)
	}
	if err != nil {
		return nil, failure.New(failure.CodeUpstreamFailed, err)
	}
	reusable = true
	s.speed.tokenTime.add(time.Since(sent))
	s.progress.Add(1)
	return out, nil
}

func plainRequest(j *incomingAttempt) *fasthttp.Request {
	req := &fasthttp.Request{} // not pooled: after an early answer it is still being written
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

func readPlain(j *incomingAttempt, res *httpclient.Response) (*plainResponse, error) {
	if res.Status < fasthttp.StatusOK || res.Status > maxStatus {
		return nil, &StatusError{res.Status}
	}
	if encoding := string(res.Header.Peek("Content-Encoding")); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return nil, &EncodingError{encoding}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return nil, &attempt.TruncatedError{Attempt: j.Attempt, Cause: err}
	}
	if len(body) > maxResponseBytes {
		return nil, &ResponseSizeError{maxResponseBytes}
	}
	return &plainResponse{status: res.Header.StatusCode(), mime: string(res.Header.ContentType()), body: body}, nil
}

// checkEnd checks a body that ends with its connection, and marks the response if nothing proves that the body is complete.
// It returns *attempt.TruncatedError if the body was cut off: what it holds is no whole document, or the upstream accepts no
// more connections, as after a crash in mid-body.
func (s *Slot) checkEnd(ctx context.Context, j *incomingAttempt, p *plainResponse) error {
	verdict := completeness.Judge(p.mime, p.body)
	p.endUnproven = verdict == completeness.Unknown
	var cause error
	switch {
	case p.status/100 != 2:
		p.endUnproven = verdict != completeness.Complete
	case verdict == completeness.Incomplete:
		cause = &IncompleteBodyError{len(p.body)}
	case verdict == completeness.Unknown:
		cause = s.client.ConfirmAlive(ctx, s.settings.Upstream.Address)
	}
	s.metrics.closeDelimited.Inc()
	_ = level.Info(s.logger).Log("msg", "response ends with its connection", "attempt", j.Attempt, "status", p.status,
		"body_bytes", len(p.body), "end", verdict, "relayed", cause == nil, "err", cause)
	if cause != nil {
		return &attempt.TruncatedError{Attempt: j.Attempt, Cause: cause}
	}
	return nil
}

// IncompleteBodyError reports that a body that ends with its connection is no whole one.
type IncompleteBodyError struct{ Bytes int }

// Error implements error.
func (e *IncompleteBodyError) Error() string {
	return fmt.Sprintf("body without a length is not complete: %d bytes", e.Bytes)
}

// maxStatus is the largest status of HTTP. Callers cannot parse one of fewer than three digits.
const maxStatus = 599

// EncodingError reports that a body has an encoding that the slot did not ask for.
type EncodingError struct{ Encoding string }

// Error implements error.
func (e *EncodingError) Error() string { return fmt.Sprintf("response is encoded as %q", e.Encoding) }

// ResponseSizeError reports that a response is too large to be forwarded.
type ResponseSizeError struct{ Limit int }

// Error implements error.
func (e *ResponseSizeError) Error() string { return fmt.Sprintf("response is over %d bytes", e.Limit) }

// readEnd reads the rest of a response after its last event, which should be only the end marker.
func readEnd(res *httpclient.Response) error {
	_, err := io.Copy(io.Discard, io.LimitReader(res.Body, 1<<10))
	if err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("end of response: %w", err)
	}
	return nil
}
