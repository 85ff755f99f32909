package entry

import (
	"context"
	"io"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// plainResponse is the complete response of a plain service.
type plainResponse struct {
	status int
	mime   string
	body   []byte
}

// attemptPlain runs one attempt at a plain service and returns the complete response.
func (e *Entry) attemptPlain(ctx context.Context, v *view, c routing.Choice, r *request, trace string) (*plainResponse, error) {
	t := e.newAttempt(r, v, c, r.body, 0, trace)
	defer t.flight.End()
	res, err := e.send(ctx, t)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		res.Release(false)
		return nil, failure.New(interruptedCode(ctx), err)
	}
	out := &plainResponse{res.Header.StatusCode(), string(res.Header.ContentType()), body}
	res.Release(true)
	return out, nil
}

func (p *plainResponse) respond(x *httpserver.Exchange, r *request) error {
	return x.Respond(p.status, []httpserver.Header{
		{Name: "Content-Type", Value: p.mime},
		{Name: headerRequest, Value: r.id},
	}, p.body)
}
