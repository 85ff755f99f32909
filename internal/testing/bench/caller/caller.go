// Package caller is a client of the system that behaves as the users' programs do: it requests the addresses of the
// entries, caches them for the time that the response allows, and resends requests that were refused as "not run".
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

// maxResends limits how often one request is resent.
const maxResends = 8

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	client          *http.Client
	bootstrap       []string
	name            string
	mu              sync.Mutex
	cachedAddresses []string
	cachedUntil     time.Time
	next            int
}

// New returns a caller of the given client account. It requests its first addresses from the bootstrap addresses (IP:PORT).
func New(name string, bootstrap []string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Caller{client: &http.Client{Transport: transport}, bootstrap: bootstrap, name: name}
}

// RefusedError reports a typed failure in the response.
type RefusedError struct {
	Status int
	Detail httpserver.FailureDetail
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Detail.Message)
}

// ResponseError reports that a response is missing, truncated or cannot be decoded.
type ResponseError struct {
	Message string
	Cause   error
}

// Error implements error.
func (e *ResponseError) Error() string { return fmt.Sprintf("%s: %v", e.Message, e.Cause) }

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error { return e.Cause }

// Result holds the response to one request.
type Result struct {
	// Body is the complete response, or the text of a streamed one.
	Body []byte
	// Refusals holds the codes of the "not run" responses before it.
	Refusals []failure.Code
	// FirstToken is the time from the last send to the first token. TokenGaps holds the times between tokens.
	FirstToken time.Duration
	TokenGaps  []time.Duration
}

// addresses returns the entries' addresses. It requests them again when the cached ones have expired.
func (c *Caller) addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cachedAddresses) > 0 && time.Now().Before(c.cachedUntil) {
		return c.cachedAddresses, nil
	}
	var last error
	for _, address := range append(append([]string{}, c.cachedAddresses...), c.bootstrap...) {
		response, err := c.fetchAddresses(ctx, address)
		if err == nil {
			c.cachedAddresses = response.Addresses
			c.cachedUntil = time.Now().Add(time.Duration(response.KeepMS) * time.Millisecond)
			return c.cachedAddresses, nil
		}
		last = err
	}
	return nil, &ResponseError{"no entry returned addresses", last}
}

// NoAddressesError reports a response without addresses.
type NoAddressesError struct {
	From   string
	Status int
}

// Error implements error.
func (e *NoAddressesError) Error() string {
	return fmt.Sprintf("%s returned no addresses: status %d", e.From, e.Status)
}

// fetchAddresses requests the entries' addresses from one entry. It returns *NoAddressesError if there are none in the response.
func (c *Caller) fetchAddresses(ctx context.Context, address string) (*entry.AddressResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return nil, err
	}
	res, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	out := &entry.AddressResponse{}
	if res.StatusCode == http.StatusOK {
		if err := json.NewDecoder(res.Body).Decode(out); err != nil {
			return nil, err
		}
	}
	if len(out.Addresses) == 0 {
		return nil, &NoAddressesError{address, res.StatusCode}
	}
	return out, nil
}

// Chat requests a streamed completion and checks that the stream is complete.
func (c *Caller) Chat(ctx context.Context, model string, messages json.RawMessage, tokens int) (*Result, error) {
	body, err := json.Marshal(map[string]any{"model": model, "messages": messages, "max_tokens": tokens, "stream": true})
	if err != nil {
		return nil, err
	}
	return c.send(ctx, "/v1/chat/completions", "", body, readStream)
}

// Plain sends a request to a plain service under an idempotency key.
func (c *Caller) Plain(ctx context.Context, path, key string, body []byte) (*Result, error) {
	return c.send(ctx, path, key, body, readBody)
}

// bodyReader reads a response without a failure header into out.
type bodyReader func(res *http.Response, sent time.Time, out *Result) error

// send sends a request until it gets a response. It resends only after a refusal that promises "not run" and allows a
// resend.
func (c *Caller) send(ctx context.Context, path, key string, body []byte, read bodyReader) (*Result, error) {
	out := &Result{}
	for {
		err := c.sendOnce(ctx, path, key, body, read, out)
		refused, ok := err.(*RefusedError)
		if !ok || !refused.Detail.NotRun || !refused.Detail.Resend || len(out.Refusals) >= maxResends {
			return out, err
		}
		out.Refusals = append(out.Refusals, refused.Detail.Code)
		c.invalidateOn(refused.Detail.Code)
		select {
		case <-ctx.Done():
			return out, err
		case <-time.After(min(time.Second, max(10*time.Millisecond, time.Duration(refused.Detail.RetryAfterMS)*time.Millisecond))):
		}
	}
}

// invalidateOn expires the cached addresses if code reports that an entry is stopping.
func (c *Caller) invalidateOn(code failure.Code) {
	if code != failure.CodeStopping {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cachedUntil = time.Time{}
}

// sendOnce sends a request to the next address in turn and reads its response into out.
func (c *Caller) sendOnce(ctx context.Context, path, key string, body []byte, read bodyReader, out *Result) error {
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
		return &ResponseError{"no response from " + to, err}
	}
	defer func() { _ = res.Body.Close() }()
	if code := res.Header.Get(httpserver.HeaderFailure); code != "" {
		return readRefusal(res)
	}
	return read(res, sent, out)
}

// readRefusal decodes the body of a refusal into a *RefusedError.
func readRefusal(res *http.Response) error {
	var in httpserver.FailureBody
	if err := json.NewDecoder(res.Body).Decode(&in); err != nil {
		return &ResponseError{"decode refusal", err}
	}
	return &RefusedError{res.StatusCode, in.Error}
}

func readBody(res *http.Response, _ time.Time, out *Result) error {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return &ResponseError{"response truncated", err}
	}
	out.Body = body
	return nil
}

// streamEvent is one event of a streamed response: a token, the end, or a typed failure.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *httpserver.FailureDetail `json:"error"`
}

// readStream reads a streamed response up to its [DONE] event.
func readStream(res *http.Response, sent time.Time, out *Result) error {
	var text strings.Builder
	last := sent
	for ev, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return &ResponseError{"read stream", err}
		}
		if ev.Data == "[DONE]" {
			out.Body = []byte(text.String())
			return nil
		}
		var in streamEvent
		if err := json.Unmarshal([]byte(ev.Data), &in); err != nil {
			return &ResponseError{"decode stream event", err}
		}
		if in.Error != nil {
			return &RefusedError{res.StatusCode, *in.Error}
		}
		last = out.recordToken(in, sent, last, &text)
	}
	return &ResponseError{"stream ended early", io.ErrUnexpectedEOF}
}

// recordToken adds a token to the result and returns the time of the last token.
func (r *Result) recordToken(in streamEvent, sent, last time.Time, text *strings.Builder) time.Time {
	if len(in.Choices) != 1 || in.Choices[0].Delta.Content == "" {
		return last
	}
	now := time.Now()
	if text.Len() == 0 {
		r.FirstToken = now.Sub(sent)
	} else {
		r.TokenGaps = append(r.TokenGaps, now.Sub(last))
	}
	text.WriteString(in.Choices[0].Delta.Content)
	return now
}
