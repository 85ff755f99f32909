package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// modelResponse is the response to one request to a model service, assembled over all its attempts.
type modelResponse struct {
	x             *httpserver.Exchange
	r             *request
	text          strings.Builder
	tokens        int
	finish        string
	streamStarted bool
	// interrupted is set if an attempt failed after its start.
	interrupted bool
	startedAt   time.Time
	lastTokenAt time.Time
	metrics     *entryMetrics
	// chunkPrefix and chunkSuffix enclose the text of each chunk; chunkBuf holds the chunk being written.
	chunkPrefix, chunkSuffix, chunkBuf []byte
}

// attemptModel runs one attempt and delivers its tokens. It returns nil once the response is complete.
func (e *Entry) attemptModel(ctx context.Context, v *view, c routing.Choice, m *modelResponse, trace string) error {
	body, err := m.body()
	if err != nil {
		return err
	}
	t := e.newAttempt(m.r, v, c, body, m.tokens, trace)
	defer t.flight.End()
	res, err := e.send(ctx, t)
	if err != nil {
		return err
	}
	f := attempt.NewEventReader(t.id, m.tokens, res.Body)
	if err := e.deliverEvents(ctx, t, m, f); err != nil {
		res.Release(false)
		return err
	}
	// The response is complete with its last event, even if the connection fails afterwards.
	res.Release(atEOF(f))
	c.Upstream.Cached.Add(m.r.blocks...)
	return nil
}

// body returns the caller's body. If tokens were already delivered, it adds their text, so that the engine can resume
// after them.
func (m *modelResponse) body() ([]byte, error) {
	if m.tokens == 0 {
		return m.r.body, nil
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(m.r.body, &fields); err != nil {
		return nil, failure.New(failure.CodeInternal, err)
	}
	text, err := json.Marshal(m.text.String())
	if err != nil {
		return nil, failure.New(failure.CodeInternal, err)
	}
	fields["resume_text"] = text
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, failure.New(failure.CodeInternal, err)
	}
	return body, nil
}

// deliverEvents delivers the tokens of one attempt to the caller until its last event. Errors: *failure.Error,
// *httpserver.ConnectionClosedError.
func (e *Entry) deliverEvents(ctx context.Context, t *outgoingAttempt, m *modelResponse, f *attempt.EventReader) error {
	for {
		event, err := f.Next()
		if err != nil {
			return e.streamFailure(ctx, err)
		}
		if event.GetFailure() != "" {
			return failure.New(failure.CodeUpstreamFailed, nil)
		}
		if attempt.Last(event) {
			m.finish = event.GetFinish()
			return nil
		}
		t.flight.Token(1)
		if err := m.deliver(ctx, event.GetText()); err != nil {
			return err
		}
	}
}

// streamFailure returns the failure for a stream that ended before its last event. An event of another attempt should
// never occur and is counted.
func (e *Entry) streamFailure(ctx context.Context, err error) error {
	var mismatch *attempt.MismatchError
	if errors.As(err, &mismatch) {
		e.metrics.mismatches.Inc()
		return failure.New(failure.CodeUpstreamFailed, err)
	}
	return failure.New(interruptedCode(ctx), err)
}

// atEOF reads the end of a stream after its last event and reports whether it was found. Without it the connection must
// not be reused.
func atEOF(f *attempt.EventReader) bool {
	_, err := f.Next()
	return err == io.EOF
}

// finishReasonLength is the finish reason of a response that has reached the caller's token limit.
const finishReasonLength = "length"

// atTokenLimit reports whether as many tokens are delivered as the caller's limit allows.
//
// An upstream may crash between the last token and the event that ends the stream. The response has all its tokens then,
// and a retry would generate one too many.
func (m *modelResponse) atTokenLimit() bool {
	return m.r.chat != nil && m.r.tokenLimit > 0 && m.tokens >= m.r.tokenLimit
}

// deliver adds one token to the response, and writes it to the caller if the response is streamed.
func (m *modelResponse) deliver(ctx context.Context, text string) error {
	m.recordTokenTime(time.Now())
	m.text.WriteString(text)
	m.tokens++
	if !m.r.chat.Stream {
		return nil
	}
	if err := m.startStream(); err != nil {
		return err
	}
	return m.x.Write(ctx, m.chunk(text))
}

func (m *modelResponse) recordTokenTime(now time.Time) {
	if m.tokens == 0 {
		m.metrics.firstToken.Update(now.Sub(m.startedAt).Seconds())
	} else {
		m.metrics.betweenTokens.Update(now.Sub(m.lastTokenAt).Seconds())
	}
	m.lastTokenAt = now
}

func (m *modelResponse) startStream() error {
	if m.streamStarted {
		return nil
	}
	m.streamStarted = true
	return m.x.Stream(fasthttp.StatusOK, []httpserver.Header{
		{Name: "Content-Type", Value: "text/event-stream"},
		{Name: "Cache-Control", Value: "no-store"},
		{Name: headerRequest, Value: m.r.id},
	})
}

// complete finishes the response: it writes the end of a stream, or the complete JSON document.
func (m *modelResponse) complete(ctx context.Context) error {
	if !m.r.chat.Stream {
		return m.x.Respond(fasthttp.StatusOK, []httpserver.Header{
			{Name: "Content-Type", Value: "application/json"},
			{Name: headerRequest, Value: m.r.id},
		}, m.document())
	}
	if err := m.startStream(); err != nil {
		return err
	}
	last := append(m.lastChunk(), sseFrame([]byte("[DONE]"))...)
	if err := m.x.Write(ctx, last); err != nil {
		return err
	}
	return m.x.End()
}

// fail ends a started stream with a typed error in place of the end marker, so that the caller does not mistake the
// truncated response for a complete one.
func (m *modelResponse) fail(ctx context.Context, f *failure.Error) {
	body, err := json.Marshal(httpserver.FailureBody{Error: httpserver.DetailOf(f)})
	if err != nil {
		return
	}
	if err := m.x.Write(ctx, sseFrame(body)); err == nil {
		_ = m.x.End()
	}
}
