package slot

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// The engine's protocol: an OpenAI-style completion with additional header fields.
const (
	enginePath          = "/v1/chat/completions"
	engineHeaderID      = "X-Request-Id"
	engineHeaderRank    = "X-Priority"
	engineHeaderResume  = "X-Resume-Tokens"
	engineDone          = "[DONE]"
	bytesPerToken       = 4
	defaultStallTimeout = 2 * time.Second
	// modelPatience is how long an engine's header may take from its first byte; the entry then asks another upstream.
	modelPatience = 500 * time.Millisecond
)

// engineChunk is one event of an engine's response.
type engineChunk struct {
	ID      string `json:"id"`
	Index   int    `json:"token_index"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// StalledError reports that the engine sent nothing for the stall timeout, After.
type StalledError struct{ After time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return fmt.Sprintf("engine sent nothing for %v", e.After) }

// forwardModel runs an attempt on the engine and relays its tokens to the entry. If the entry disconnects, ctx is
// done, which closes the connection to the engine and thereby cancels the request there.
func (s *Slot) forwardModel(ctx context.Context, x *httpserver.Exchange, j *incomingAttempt) error {
	flight := s.work.start(j.Attempt.Entry, estimateOf(j), time.Now())
	defer flight.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := time.Now()
	req := engineRequest(j)
	call := exchange(req, j)
	call.Patience = modelPatience
	res, err := s.client.Do(ctx, s.settings.Upstream.Address, call)
	if err != nil {
		return s.upstreamError(ctx, err)
	}
	reusable := false
	defer func() { res.Release(reusable) }()
	if res.Status != fasthttp.StatusOK {
		return engineStatus(res.Header)
	}
	relay := &modelRelay{x: x, incoming: j, id: j.Attempt.String(), flight: flight, speed: &s.speed, progress: &s.progress, lastTokenAt: sent, stallTimeout: s.settings.Upstream.StopAfter.Or(defaultStallTimeout)}
	relay.stallTimer = relay.newStallTimer(cancel)
	defer relay.stallTimer.Stop()
	err = relay.relayEvents(ctx, res)
	reusable = err == nil
	if err != nil {
		err = errors.Join(err, context.Cause(ctx))
	}
	return err
}

// newStallTimer returns a timer that cancels the request if the engine sends nothing for the stall timeout. It is
// started by the first token, since the request may be queued in the engine before that.
func (r *modelRelay) newStallTimer(cancel context.CancelCauseFunc) *time.Timer {
	t := time.AfterFunc(r.stallTimeout, func() { cancel(&StalledError{r.stallTimeout}) })
	t.Stop()
	return t
}

func estimateOf(j *incomingAttempt) routing.Estimate {
	return routing.Estimate{FirstClass: j.Priority == 0, PromptTokens: len(j.body) / bytesPerToken, OutputTokens: j.Output}
}

func engineRequest(j *incomingAttempt) *fasthttp.Request {
	req := &fasthttp.Request{} // not pooled: after an early answer it is still being written
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(enginePath)
	req.Header.SetHost("engine")
	req.Header.SetContentType("application/json")
	req.Header.Set(engineHeaderID, j.Attempt.String())
	req.Header.Set(engineHeaderRank, strconv.Itoa(int(j.Priority)))
	req.Header.Set(engineHeaderResume, strconv.Itoa(j.Resume))
	if j.Trace != "" {
		req.Header.Set(attempt.HeaderTrace, j.Trace)
	}
	req.SetBodyRaw(j.body)
	return req
}

// exchange returns the request of an attempt with its id, which upstreams may repeat in their responses. Only a response that is the
// first on its connection may lack it.
func exchange(req *fasthttp.Request, j *incomingAttempt) httpclient.Exchange {
	return httpclient.Exchange{
		Request:   req,
		ID:        j.Attempt.String(),
		ReadID:    func(h *fasthttp.ResponseHeader) string { return string(h.Peek(engineHeaderID)) },
		MayLackID: func(*fasthttp.ResponseHeader) bool { return true },
		Single:    []string{engineHeaderID, fasthttp.HeaderRetryAfter},
	}
}

// engineStatus returns the failure for an engine's response with a status other than 200. With a 4xx status the engine
// rejects the request as invalid without running it; 429 and 503 mean that it is overloaded, for as long as it says.
func engineStatus(h *fasthttp.ResponseHeader) error {
	code := h.StatusCode()
	cause := &StatusError{code}
	if code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusTooManyRequests {
		return refuse(failure.CodeOverloaded, cause).WithRetryAfter(retryAfterOf(h))
	}
	if code >= 400 && code < 500 {
		return refuse(failure.CodeMalformed, cause)
	}
	return failure.New(failure.CodeUpstreamFailed, cause)
}

// maxRetryAfter is the longest time that an engine's Retry-After stands for; one that asks for more is replaced sooner.
const maxRetryAfter = time.Hour

// retryAfterOf returns the time in the Retry-After field, in seconds on the wire; 0 if there is none that can be read.
func retryAfterOf(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(string(h.Peek("Retry-After"))), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// StatusError reports that an upstream responded with an unsuccessful status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream responded with status %d", e.Status)
}

// upstreamError returns the failure for a failed call, by whether the upstream may have started to run the request.
func (s *Slot) upstreamError(ctx context.Context, err error) error {
	var dial *httpclient.DialError
	if errors.As(err, &dial) {
		return refuse(failure.CodeNoUpstream, err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.New(failure.CodeDeadlinePassed, err)
	}
	return failure.New(failure.CodeUpstreamFailed, err)
}

// modelRelay relays the events of one engine response to the entry.
type modelRelay struct {
	x             *httpserver.Exchange
	incoming      *incomingAttempt
	flight        *routing.Flight
	speed         *speed
	progress      *atomic.Uint64
	lastTokenAt   time.Time
	stallTimer    *time.Timer
	stallTimeout  time.Duration
	nextIndex     int
	streamStarted bool
	id            string
	// chunk, event and buf are reused from event to event.
	chunk engineChunk
	event attempt.Event
	buf   bytes.Buffer
}

func (r *modelRelay) relayEvents(ctx context.Context, res *httpclient.Response) error {
	r.nextIndex = r.incoming.Resume
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return r.fail(r.truncated(err))
		}
		if ev.Data == engineDone {
			return r.fail(nil)
		}
		last, err := r.relayEvent(ctx, []byte(ev.Data))
		if err != nil {
			return r.fail(err)
		}
		if last {
			return r.finish(res)
		}
	}
	return r.fail(r.truncated(nil))
}

// truncated returns the error for an engine response that ended before its last event.
func (r *modelRelay) truncated(cause error) error {
	return &attempt.TruncatedError{Attempt: r.incoming.Attempt, Tokens: r.nextIndex, Cause: cause}
}

// relayEvent relays one event and reports whether it was the last.
func (r *modelRelay) relayEvent(ctx context.Context, data []byte) (bool, error) {
	r.chunk = engineChunk{Choices: r.chunk.Choices[:0]}
	if err := json.Unmarshal(data, &r.chunk); err != nil {
		return false, fmt.Errorf("engine event: %w", err)
	}
	if err := r.checkChunk(&r.chunk); err != nil {
		return false, err
	}
	choice := r.chunk.Choices[0]
	r.event = attempt.Event{
		Attempt: r.incoming.Attempt.Seq, Index: uint32(r.chunk.Index), Text: choice.Delta.Content, Finish: choice.FinishReason,
	}
	last := attempt.Last(&r.event)
	if !last {
		r.recordToken()
		r.nextIndex++
	}
	return last, r.send(ctx)
}

// checkChunk verifies that an engine's event belongs to the attempt and is the next one: a late or misrouted event has
// another id or index.
func (r *modelRelay) checkChunk(c *engineChunk) error {
	if c.ID != r.id {
		return &attempt.MismatchError{Attempt: r.incoming.Attempt, Want: "its own id", Got: c.ID}
	}
	if c.Index != r.nextIndex || len(c.Choices) != 1 {
		return &attempt.MismatchError{
			Attempt: r.incoming.Attempt,
			Want:    fmt.Sprintf("token %d", r.nextIndex),
			Got:     fmt.Sprintf("token %d in %d choices", c.Index, len(c.Choices)),
		}
	}
	return nil
}

func (r *modelRelay) recordToken() {
	now := time.Now()
	if r.nextIndex > r.incoming.Resume {
		r.speed.tokenTime.add(now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.flight.Token(1)
	r.stallTimer.Reset(r.stallTimeout)
	r.progress.Add(1)
}

// send writes r.event to the entry.
func (r *modelRelay) send(ctx context.Context) error {
	if !r.streamStarted {
		r.streamStarted = true
		headers := []httpserver.Header{attemptHeader(r.incoming.Attempt), {Name: "Content-Type", Value: attempt.ContentType}}
		if err := r.x.Stream(fasthttp.StatusOK, headers); err != nil {
			return err
		}
	}
	r.buf.Reset()
	if err := attempt.Write(&r.buf, &r.event); err != nil {
		return err
	}
	return r.x.Write(ctx, r.buf.Bytes())
}

// finish ends the stream to the entry and reads the engine's end marker. Until that is read, the connection must not be
// reused.
func (r *modelRelay) finish(res *httpclient.Response) error {
	if err := r.x.End(); err != nil {
		return err
	}
	return readEnd(res)
}

// fail returns the failure for an incomplete response. If the stream has started, it also ends it with a failure event,
// so that the entry can immediately resume on another upstream.
func (r *modelRelay) fail(cause error) error {
	e := failure.New(failure.CodeUpstreamFailed, cause)
	if !r.streamStarted {
		return e
	}
	r.event = attempt.Event{Attempt: r.incoming.Attempt.Seq, Index: uint32(r.nextIndex), Failure: string(e.Code)}
	if err := r.send(context.Background()); err == nil {
		_ = r.x.End()
	}
	return e
}
