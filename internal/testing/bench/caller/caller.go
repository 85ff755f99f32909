// Package caller is a caller of the system as the users' programs are: it asks which address to use, keeps the answer
// for a while, connects there and sends again what was refused as "not run".
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/node/entry"
)

// maxSends is how often one request is sent at most.
const maxSends = 8

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	client    *http.Client
	bootstrap []string
	name      string
	mu        sync.Mutex
	known     []string
	until     time.Time
	next      int
}

// New returns a caller of the given client account that first asks one of the bootstrap addresses (IP:PORT).
func New(name string, bootstrap []string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Caller{client: &http.Client{Transport: transport}, bootstrap: bootstrap, name: name}
}

// RefusedError is a typed failure that the system answered.
type RefusedError struct {
	Status int
	Detail httpserver.FailureDetail
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail.Message)
}

// BrokenError says that an answer is missing, cut off or not this request's.
type BrokenError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("%s: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Result is one answered request.
type Result struct {
	// Body is the whole answer, or the text of a streamed one.
	Body []byte
	// Refusals are the answers "not run" before it.
	Refusals []failure.Code
	// FirstToken is the time from the last send to the first token; Between are the times between tokens.
	FirstToken time.Duration
	Between    []time.Duration
}

// addresses returns the addresses in force, asking for them when the kept answer is too old.
func (c *Caller) addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.known) > 0 && time.Now().Before(c.until) {
		return c.known, nil
	}
	var last error
	for _, from := range append(append([]string{}, c.known...), c.bootstrap...) {
		answer, err := c.ask(ctx, from)
		if err == nil && len(answer.Addresses) > 0 {
			c.known = answer.Addresses
			c.until = time.Now().Add(time.Duration(answer.KeepMS) * time.Millisecond)
			return c.known, nil
		}
		last = err
	}
	return nil, &BrokenError{"no address answers", last}
}

func (c *Caller) ask(ctx context.Context, from string) (*entry.AddressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+"/v1/addresses", nil)
	if err != nil {
		return nil, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	out := &entry.AddressAnswer{}
	if res.StatusCode != http.StatusOK {
		return out, nil
	}
	return out, json.NewDecoder(res.Body).Decode(out)
}

// Chat sends a streamed completion and checks that the stream came to its end.
func (c *Caller) Chat(ctx context.Context, model string, messages json.RawMessage, tokens int) (*Result, error) {
	body, err := json.Marshal(map[string]any{"model": model, "messages": messages, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil, err
	}
	return c.send(ctx, "/v1/chat/completions", "", body, readStream)
}

// Plain sends a request to a plain service under an idempotency key.
func (c *Caller) Plain(ctx context.Context, path, key string, body []byte) (*Result, error) {
	return c.send(ctx, path, key, body, readWhole)
}

type reader func(res *http.Response, sent time.Time, out *Result) error

// send sends until the request is answered; only a refusal that promises "not run" and allows it is sent again.
func (c *Caller) send(ctx context.Context, path, key string, body []byte, read reader) (*Result, error) {
	out := &Result{}
	for {
		err := c.once(ctx, path, key, body, read, out)
		refused, ok := err.(*RefusedError)
		if !ok || !refused.Detail.NotRun || !refused.Detail.Resend || len(out.Refusals) >= maxSends {
			return out, err
		}
		out.Refusals = append(out.Refusals, refused.Detail.Code)
		c.forget(refused.Detail.Code)
		select {
		case <-ctx.Done():
			return out, err
		case <-time.After(min(time.Second, max(10*time.Millisecond, time.Duration(refused.Detail.RetryAfterMS)*time.Millisecond))):
		}
	}
}

// forget drops the kept addresses when one of them is leaving.
func (c *Caller) forget(code failure.Code) {
	if code != failure.CodeStopping {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func (c *Caller) once(ctx context.Context, path, key string, body []byte, read reader, out *Result) error {
	list, err := c.addresses(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.next++
	to := list[c.next%len(list)]
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.name)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	sent := time.Now()
	res, err := c.client.Do(req)
	if err != nil {
		return &BrokenError{"no answer from " + to, err}
	}
	defer func() { _ = res.Body.Close() }()
	if code := res.Header.Get(httpserver.HeaderFailure); code != "" {
		return readRefusal(res)
	}
	return read(res, sent, out)
}

func readRefusal(res *http.Response) error {
	var in httpserver.FailureBody
	if err := json.NewDecoder(res.Body).Decode(&in); err != nil {
		return &BrokenError{"refusal", err}
	}
	return &RefusedError{res.StatusCode, in.Error}
}

func readWhole(res *http.Response, _ time.Time, out *Result) error {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return &BrokenError{"answer cut off", err}
	}
	out.Body = body
	return nil
}

// streamEvent is one event of a streamed answer: a token, the end, or a typed failure.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *httpserver.FailureDetail `json:"error"`
}

func readStream(res *http.Response, sent time.Time, out *Result) error {
	var text strings.Builder
	last := sent
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return &BrokenError{"stream", err}
		}
		if ev.Data == "[DONE]" {
			out.Body = []byte(text.String())
			return nil
		}
		var in streamEvent
		if err := json.Unmarshal([]byte(ev.Data), &in); err != nil {
			return &BrokenError{"stream event", err}
		}
		if in.Error != nil {
			return &RefusedError{res.StatusCode, *in.Error}
		}
		last = out.note(in, sent, last, &text)
	}
	return &BrokenError{"stream without its end", io.ErrUnexpectedEOF}
}

// note adds a token and returns the time of the last one.
func (r *Result) note(in streamEvent, sent, last time.Time, text *strings.Builder) time.Time {
	if len(in.Choices) != 1 || in.Choices[0].Delta.Content == "" {
		return last
	}
	now := time.Now()
	if text.Len() == 0 {
		r.FirstToken = now.Sub(sent)
	} else {
		r.Between = append(r.Between, now.Sub(last))
	}
	text.WriteString(in.Choices[0].Delta.Content)
	return now
}
