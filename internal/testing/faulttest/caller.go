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

// callerTimeout bounds one call. It is longer than any deadline of the deployment.
const callerTimeout = 2 * modelDeadline * time.Millisecond

// caller sends one request at a time and never reuses a connection, so that the caller itself cannot mistake bytes of one
// response for the next.
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

// chat sends a streaming chat request to the model. It returns false if no connection could be made.
func (c *caller) chat(entry, mark string, tokens int) (Call, bool) {
	call := Call{Mark: mark, Class: Unknown}
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": mark + " two bodies, a set of primes"}})
	if err != nil {
		return call, false
	}
	call.Want = []byte(engine.Completion(messages, tokens))
	body := fmt.Appendf(nil, `{"model":%q,"messages":%s,"max_tokens":%d,"stream":true}`, modelService, messages, tokens)
	return c.send(entry, newRequest("/v1/chat/completions", body), call, readStream)
}

// slip asks the plain service to print a slip, which must be printed at most once. The mark goes into the query of the
// request target, which the service and the claim ignore.
func (c *caller) slip(entry, key, mark string) (Call, bool) {
	body := []byte(`{"slip":"` + key + `"}`)
	call := Call{Mark: mark, Key: key, Class: Unknown}
	want, err := json.Marshal(plain.Response{Key: key, Path: "/slips", Echo: plain.Echo(body)})
	if err != nil {
		return call, false
	}
	call.Want = want
	req := newRequest("/v1/services/"+plainService+"/slips?"+mark, body)
	req.Header.Set(attempt.HeaderKey, key)
	return c.send(entry, req, call, readDocument)
}

func (c *caller) send(entry string, req *fasthttp.Request, call Call, read func(io.Reader, *Call)) (Call, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	res, err := c.client.Do(ctx, entry, httpclient.Exchange{Request: req})
	var dial *httpclient.DialError
	if errors.As(err, &dial) {
		return call, false
	}
	if err != nil {
		return call, true
	}
	defer res.Release(false)
	if len(res.Header.Peek(httpserver.HeaderFailure)) > 0 {
		readFailure(res.Body, &call)
		return call, true
	}
	read(res.Body, &call)
	return call, true
}

func (call *Call) recordFailure(d httpserver.FailureDetail) {
	call.Code = d.Code
	if d.NotRun && d.Proof != failure.ProofNone {
		call.Class = NotRun
	}
}

func readFailure(body io.Reader, call *Call) {
	var in httpserver.FailureBody
	if err := json.NewDecoder(body).Decode(&in); err == nil {
		call.recordFailure(in.Error)
	}
}

func readDocument(body io.Reader, call *Call) {
	data, err := io.ReadAll(body)
	if err != nil {
		call.Want = nil // A truncated document is not a response and is not compared.
		return
	}
	call.Body = bytes.TrimSpace(data)
	call.Class = Answered
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *httpserver.FailureDetail `json:"error"`
}

// readStream reads to the end of the body, past the end marker as well, to detect data that follows the marker.
func readStream(body io.Reader, call *Call) {
	var text strings.Builder
	done := false
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}
		if done {
			call.Trailing = true
		}
		if ev.Data == "[DONE]" {
			done = true
			continue
		}
		var in streamEvent
		if err := json.Unmarshal([]byte(ev.Data), &in); err != nil {
			call.Trailing = true
			break
		}
		if in.Error != nil {
			call.recordFailure(*in.Error)
			done = true
			continue
		}
		for _, c := range in.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	call.Body = []byte(text.String())
	if done && call.Code == "" {
		call.Class = Answered
	}
}
