package entry

import (
	"context"
	"fmt"
	"io"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	status int
	mime   string
	body   []byte
	// endUnproven is set if only the close of the upstream's connection tells that the body is complete.
	endUnproven bool
}

// attemptPlain runs one attempt at a plain service and returns the complete response.
func (e *Entry) attemptPlain(ctx context.Context, v *view, c routing.Choice, r *request, trace string) (*plainResponse, error) {
	t := e.newAttempt(r, v, c, r.body, 0, trace)
	defer t.flight.End()
	res, err := e.send(ctx, t)
	if err != nil {
		return nil, err
	}
	out, err := readPlain(res)
	res.Release(err == nil)
	if err != nil {
		return nil, failure.New(interruptedCode(ctx), err)
	}
	return out, nil
}

// LongResponseError reports a response that is longer than any that a slot sends.
type LongResponseError struct{ Limit int }

// Error implements error.
func (e *LongResponseError) Error() string {
	return fmt.Sprintf("slot's response is longer than %d bytes", e.Limit)
}

// UnframedError reports that a slot's response has no length. Slots always state it, so the response was damaged on the way.
type UnframedError struct{}

// Error implements error.
func (*UnframedError) Error() string { return "slot's response has no length" }

// maxPlainBytes is the size in bytes of the longest response of a slot that is kept, twice that of the longest body that slots pass on.
const maxPlainBytes = 8 << 20

// readPlain reads the complete response of a slot.
func readPlain(res *httpclient.Response) (*plainResponse, error) {
	if res.CloseDelimited {
		return nil, &UnframedError{}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPlainBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxPlainBytes {
		return nil, &LongResponseError{maxPlainBytes}
	}
	return &plainResponse{
		status:      res.Header.StatusCode(),
		mime:        string(res.Header.ContentType()),
		body:        body,
		endUnproven: len(res.Header.Peek(attempt.HeaderEndUnproven)) > 0,
	}, nil
}

// respond sends the response to the caller. If the upstream did not say where the body ends, neither does the entry.
func (p *plainResponse) respond(ctx context.Context, x *httpserver.Exchange, r *request) error {
	headers := []httpserver.Header{{Name: "Content-Type", Value: p.mime}, {Name: headerRequest, Value: r.id}}
	if p.endUnproven {
		return x.RespondUntilClose(ctx, p.status, headers, p.body)
	}
	return x.Respond(p.status, headers, p.body)
}
