package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/engine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/plain"
)

// callerPatience is for how long a caller waits; it is longer than any deadline of the deployment.
const callerPatience = 2 * modelDeadline * time.Millisecond

// caller sends one request at a time over connections that it never uses twice, so that nothing of one answer can be
// taken for the next by the caller itself.
type caller struct {
	client *httpclient.Client
}

func newCaller() *caller { return &caller{client: httpclient.New(httpclient.Options{})} }

func newRequest(path string, body []byte) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(path)
	req.Header.SetHost("entry")
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+clientName)
	req.SetBodyRaw(body)
	return req
}

// chat asks the model for a streamed answer. It returns false if no connection could be made.
func (c *caller) chat(entry, mark string, tokens int) (Send, bool) {
	s := Send{Mark: mark, Class: Unknown}
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": mark + " two bodies, a set of primes"}})
	if err != nil {
		return s, false
	}
	s.Want = []byte(engine.Answer(messages, tokens))
	body := fmt.Appendf(nil, `{"model":%q,"messages":%s,"max_tokens":%d,"stream":true}`, modelService, messages, tokens)
	return c.send(entry, newRequest("/v1/chat/completions", body), s, readStream)
}

// slip asks the plain service to print a slip, which may happen at most once. The mark goes into the target's query,
// which the service and the claim ignore.
func (c *caller) slip(entry, key, mark string) (Send, bool) {
	body := []byte(`{"slip":"` + key + `"}`)
	s := Send{Mark: mark, Key: key, Class: Unknown}
	want, err := json.Marshal(plain.Answer{Key: key, Path: "/slips", Echo: plain.Echo(body)})
	if err != nil {
		return s, false
	}
	s.Want = want
	req := newRequest("/v1/services/"+plainService+"/slips?"+mark, body)
	req.Header.Set(attempt.HeaderKey, key)
	return c.send(entry, req, s, readWhole)
}

func (c *caller) send(entry string, req *fasthttp.Request, s Send, read func(io.Reader, *Send)) (Send, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	res, err := c.client.Do(ctx, entry, req)
	var dial *httpclient.DialError
	if errors.As(err, &dial) {
		return s, false
	}
	if err != nil {
		return s, true
	}
	defer res.Release(false)
	if len(res.Header.Peek(httpserver.HeaderFailure)) > 0 {
		readFailure(res.Body, &s)
		return s, true
	}
	read(res.Body, &s)
	return s, true
}

func (s *Send) failed(d httpserver.FailureDetail) {
	s.Code = d.Code
	if d.NotRun && d.Proof != failure.ProofNone {
		s.Class = NotRun
	}
}

func readFailure(body io.Reader, s *Send) {
	var in httpserver.FailureBody
	if err := json.NewDecoder(body).Decode(&in); err == nil {
		s.failed(in.Error)
	}
}

func readWhole(body io.Reader, s *Send) {
	data, err := io.ReadAll(body)
	if err != nil {
		s.Want = nil // A part of a document is no answer and is not compared.
		return
	}
	s.Body = bytes.TrimSpace(data)
	s.Class = Answered
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *httpserver.FailureDetail `json:"error"`
}

// readStream reads to the end of the body, also past the end marker: nothing may follow it.
func readStream(body io.Reader, s *Send) {
	var text strings.Builder
	ended := false
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if ended {
			s.Trailing = true
		}
		if ev.Data == "[DONE]" {
			ended = true
			continue
		}
		var in streamEvent
		if err := json.Unmarshal([]byte(ev.Data), &in); err != nil {
			s.Trailing = true
			break
		}
		if in.Error != nil {
			s.failed(*in.Error)
			ended = true
			continue
		}
		for _, c := range in.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	s.Body = []byte(text.String())
	if ended && s.Code == "" {
		s.Class = Answered
	}
}
