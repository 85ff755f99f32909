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

// modelAnswer follows one caller's answer over all attempts.
type modelAnswer struct {
	x      *httpserver.Exchange
	r      *request
	text   strings.Builder
	tokens int
	finish string
	begun  bool
	// broken says that an attempt broke off after its start.
	broken  bool
	started time.Time
	last    time.Time
	metrics *entryMetrics
	// before and after are the parts of a chunk around its text; out is the chunk being written.
	before, after, out []byte
}

// tryModel runs one attempt and delivers its tokens. It returns nil once the answer is whole.
func (e *Entry) tryModel(ctx context.Context, v *view, c routing.Choice, m *modelAnswer, trace string) error {
	body, err := m.body()
	if err != nil {
		return err
	}
	t := e.newTry(m.r, v, c, body, m.tokens, trace)
	defer t.flight.End()
	res, err := e.send(ctx, t)
	if err != nil {
		return err
	}
	f := attempt.NewEventReader(t.id, m.tokens, res.Body)
	if err := e.follow(ctx, t, m, f); err != nil {
		res.Release(false)
		return err
	}
	// The last event makes the answer whole, whatever becomes of the connection after it.
	res.Release(ended(f))
	c.Upstream.Cached.Add(m.r.blocks...)
	return nil
}

// body is the caller's body, and after a broken attempt also what was delivered, so that the engine can go on from it.
func (m *modelAnswer) body() ([]byte, error) {
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

// follow delivers the tokens of one attempt. Errors: *failure.Error, *httpserver.ConnectionClosedError.
func (e *Entry) follow(ctx context.Context, t *try, m *modelAnswer, f *attempt.EventReader) error {
	for {
		event, err := f.Next()
		if err != nil {
			return e.broken(ctx, err)
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

// broken is the failure of a stream that does not go on; a foreign event is counted, since it should never happen.
func (e *Entry) broken(ctx context.Context, err error) error {
	var foreign *attempt.MismatchError
	if errors.As(err, &foreign) {
		e.metrics.mismatches.Inc()
		return failure.New(failure.CodeUpstreamFailed, err)
	}
	return failure.New(afterEnd(ctx), err)
}

// ended reads the end of a stream whose last event was taken; without it its connection must not be reused.
func ended(f *attempt.EventReader) bool {
	_, err := f.Next()
	return err == io.EOF
}

// finishLength is why an answer ends that has all tokens that its caller asked for.
const finishLength = "length"

// full reports whether all tokens are delivered that the caller asked for.
//
// An upstream may die between the last token and the event that says so. Nothing is left to ask another one for, and asking
// would make one token more.
func (m *modelAnswer) full() bool {
	return m.r.chat != nil && m.r.tokenLimit > 0 && m.tokens >= m.r.tokenLimit
}

// deliver gives one token to the caller.
func (m *modelAnswer) deliver(ctx context.Context, text string) error {
	m.note(time.Now())
	m.text.WriteString(text)
	m.tokens++
	if !m.r.chat.Stream {
		return nil
	}
	if err := m.begin(); err != nil {
		return err
	}
	return m.x.Write(ctx, m.chunk(text))
}

func (m *modelAnswer) note(now time.Time) {
	if m.tokens == 0 {
		m.metrics.firstToken.Update(now.Sub(m.started).Seconds())
	} else {
		m.metrics.betweenTokens.Update(now.Sub(m.last).Seconds())
	}
	m.last = now
}

func (m *modelAnswer) begin() error {
	if m.begun {
		return nil
	}
	m.begun = true
	return m.x.Stream(fasthttp.StatusOK, []httpserver.Header{
		{Name: "Content-Type", Value: "text/event-stream"},
		{Name: "Cache-Control", Value: "no-store"},
		{Name: headerRequest, Value: m.r.id},
	})
}

// complete ends a whole answer.
func (m *modelAnswer) complete(ctx context.Context) error {
	if !m.r.chat.Stream {
		return m.x.Respond(fasthttp.StatusOK, []httpserver.Header{
			{Name: "Content-Type", Value: "application/json"},
			{Name: headerRequest, Value: m.r.id},
		}, m.document())
	}
	if err := m.begin(); err != nil {
		return err
	}
	last := append(m.lastChunk(), sseFrame([]byte("[DONE]"))...)
	if err := m.x.Write(ctx, last); err != nil {
		return err
	}
	return m.x.End()
}

// fail ends a stream that was begun with a typed error in place of the end marker, so that nobody takes the part for
// the whole.
func (m *modelAnswer) fail(ctx context.Context, f *failure.Error) {
	body, err := json.Marshal(httpserver.FailureBody{Error: httpserver.DetailOf(f)})
	if err != nil {
		return
	}
	if err := m.x.Write(ctx, sseFrame(body)); err == nil {
		_ = m.x.End()
	}
}
