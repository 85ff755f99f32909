package slot

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
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

// The engine's protocol: an OpenAI-style completion with these header fields besides.
const (
	enginePath         = "/v1/chat/completions"
	engineHeaderID     = "X-Request-Id"
	engineHeaderRank   = "X-Priority"
	engineHeaderResume = "X-Resume-Tokens"
	engineDone         = "[DONE]"
	bytesPerToken      = 4
	defaultStopAfter   = 2 * time.Second
)

// engineChunk is one event of an engine's answer.
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

// StalledError says that the engine sent nothing for too long.
type StalledError struct{ After time.Duration }

// Error implements error.
func (e *StalledError) Error() string { return fmt.Sprintf("engine sent nothing for %v", e.After) }

// forwardModel runs an attempt on the engine and passes its tokens on. The context of the engine's request ends when
// the entry goes away, which closes the connection, which cancels the request in the engine.
func (s *Slot) forwardModel(ctx context.Context, x *httpserver.Exchange, j *job) error {
	flight := s.work.start(j.Attempt.Entry, estimateOf(j), time.Now())
	defer flight.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sent := time.Now()
	req := engineRequest(j)
	res, err := s.client.Do(ctx, s.settings.Upstream.Address, req)
	fasthttp.ReleaseRequest(req) // it is written in full, or given up
	if err != nil {
		return s.upstreamError(ctx, err)
	}
	trusted := false
	defer func() { res.Release(trusted) }()
	if code := res.Header.StatusCode(); code != fasthttp.StatusOK {
		return engineStatus(code)
	}
	relay := &modelRelay{x: x, job: j, id: j.Attempt.String(), flight: flight, speed: &s.speed, steps: &s.steps, last: sent, after: s.settings.Upstream.StopAfter.Or(defaultStopAfter)}
	relay.watch = relay.stallTimer(cancel)
	defer relay.watch.Stop()
	err = relay.all(ctx, res)
	trusted = err == nil
	if err != nil {
		err = errors.Join(err, context.Cause(ctx))
	}
	return err
}

// stallTimer ends an answer whose engine sends nothing for too long; it starts with the first token, since before it
// the request may be waiting for its place.
func (r *modelRelay) stallTimer(cancel context.CancelCauseFunc) *time.Timer {
	t := time.AfterFunc(r.after, func() { cancel(&StalledError{r.after}) })
	t.Stop()
	return t
}

func estimateOf(j *job) routing.Estimate {
	return routing.Estimate{FirstClass: j.Rank == 0, PromptTokens: len(j.body) / bytesPerToken, OutputTokens: j.Output}
}

func engineRequest(j *job) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(enginePath)
	req.Header.SetHost("engine")
	req.Header.SetContentType("application/json")
	req.Header.Set(engineHeaderID, j.Attempt.String())
	req.Header.Set(engineHeaderRank, strconv.Itoa(int(j.Rank)))
	req.Header.Set(engineHeaderResume, strconv.Itoa(j.Resume))
	if j.Trace != "" {
		req.Header.Set(attempt.HeaderTrace, j.Trace)
	}
	req.SetBodyRaw(j.body)
	return req
}

// engineStatus is the failure for an engine's answer that is no stream. A 4xx is the engine's word that the request is
// wrong; it did not run.
func engineStatus(code int) error {
	cause := &StatusError{code}
	if code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusTooManyRequests {
		return refuse(failure.CodeOverloaded, cause)
	}
	if code >= 400 && code < 500 {
		return refuse(failure.CodeMalformed, cause)
	}
	return failure.New(failure.CodeUpstreamFailed, cause)
}

// StatusError is an upstream's answer with a status that is no success.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream answered with status %d", e.Status)
}

// upstreamError tells whether the upstream can have begun to run the request.
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

// modelRelay passes the events of one engine answer on to the entry.
type modelRelay struct {
	x      *httpserver.Exchange
	job    *job
	flight *routing.Flight
	speed  *speed
	steps  *atomic.Uint64
	last   time.Time
	watch  *time.Timer
	after  time.Duration
	next   int
	begun  bool
	id     string
	// in, out and wire are used for one event after the other.
	in   engineChunk
	out  attempt.Event
	wire bytes.Buffer
}

func (r *modelRelay) all(ctx context.Context, res *httpclient.Response) error {
	r.next = r.job.Resume
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return r.broken(r.cut(err))
		}
		if ev.Data == engineDone {
			return r.broken(nil)
		}
		last, err := r.one(ctx, []byte(ev.Data))
		if err != nil {
			return r.broken(err)
		}
		if last {
			return r.finish(res)
		}
	}
	return r.broken(r.cut(nil))
}

// cut says that the engine's answer ended before its last token.
func (r *modelRelay) cut(cause error) error {
	return &attempt.TruncatedError{Attempt: r.job.Attempt, Tokens: r.next, Cause: cause}
}

// one passes one token on; it reports whether that was the end.
func (r *modelRelay) one(ctx context.Context, data []byte) (bool, error) {
	r.in = engineChunk{Choices: r.in.Choices[:0]}
	if err := json.Unmarshal(data, &r.in); err != nil {
		return false, fmt.Errorf("engine event: %w", err)
	}
	if err := r.check(&r.in); err != nil {
		return false, err
	}
	choice := r.in.Choices[0]
	r.out = attempt.Event{
		Attempt: r.job.Attempt.Seq, Index: uint32(r.in.Index), Text: choice.Delta.Content, Finish: choice.FinishReason,
	}
	last := attempt.Last(&r.out)
	if !last {
		r.count()
		r.next++
	}
	return last, r.send(ctx)
}

// check matches an engine's event against the attempt: a late or crossed answer carries another id or index.
func (r *modelRelay) check(c *engineChunk) error {
	if c.ID != r.id {
		return &attempt.MismatchError{Attempt: r.job.Attempt, Want: "its own id", Got: c.ID}
	}
	if c.Index != r.next || len(c.Choices) != 1 {
		return &attempt.MismatchError{
			Attempt: r.job.Attempt,
			Want:    fmt.Sprintf("token %d", r.next),
			Got:     fmt.Sprintf("token %d in %d choices", c.Index, len(c.Choices)),
		}
	}
	return nil
}

func (r *modelRelay) count() {
	now := time.Now()
	if r.next > r.job.Resume {
		r.speed.step.add(now.Sub(r.last))
	}
	r.last = now
	r.flight.Token(1)
	r.watch.Reset(r.after)
	r.steps.Add(1)
}

// send passes r.out on.
func (r *modelRelay) send(ctx context.Context) error {
	if !r.begun {
		r.begun = true
		headers := []httpserver.Header{own(r.job.Attempt), {Name: "Content-Type", Value: attempt.ContentType}}
		if err := r.x.Stream(fasthttp.StatusOK, headers); err != nil {
			return err
		}
	}
	r.wire.Reset()
	if err := attempt.Write(&r.wire, &r.out); err != nil {
		return err
	}
	return r.x.Write(ctx, r.wire.Bytes())
}

// finish reads the engine's end marker, without which the connection may not be used again.
func (r *modelRelay) finish(res *httpclient.Response) error {
	if err := r.x.End(); err != nil {
		return err
	}
	return drain(res)
}

// broken tells the entry that the answer breaks off, so that it can resume elsewhere at once.
func (r *modelRelay) broken(cause error) error {
	e := failure.New(failure.CodeUpstreamFailed, cause)
	if !r.begun {
		return e
	}
	r.out = attempt.Event{Attempt: r.job.Attempt.Seq, Index: uint32(r.next), Failure: string(e.Code)}
	if err := r.send(context.Background()); err == nil {
		_ = r.x.End()
	}
	return e
}
