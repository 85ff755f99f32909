package gateway

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// maxHeldBytes is how much of an answer is held until it is whole. A longer one is relayed as it comes: it can no
// longer be tried elsewhere, and its caller sees the cut if it breaks off.
const maxHeldBytes = 1 << 20

// plainResponse is an answer that was read whole.
type plainResponse struct {
	status  int
	headers []httpserver.Header
	body    []byte
}

// respond gives the answer to the caller.
func (p *plainResponse) respond(n *run) error { return n.x.Respond(p.status, p.headers, p.body) }

// relayPlain reads an answer and gives it to the caller.
//
// If the upstream's connection breaks in the middle of a body, a caller must not take the part for the whole: the answer is
// given on only when it is whole, and with its length.
func (n *run) relayPlain(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, reply Reply) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxHeldBytes))
	if err != nil {
		res.Release(false)
		return &httpclient.BrokenError{Address: t.Upstream().Address, Stage: "read body from", Cause: err}
	}
	if reason := unusable(res.Status, reply); reason != "" {
		res.Release(false)
		return &AnswerError{t.Upstream().ID, res.Status, reason}
	}
	n.service.gate.Answered(t)
	n.recordFirstPiece()
	p := &plainResponse{res.Status, responseHeaders(res.Header), body}
	if len(body) == maxHeldBytes {
		return n.relayRest(ctx, res, p)
	}
	res.Release(true)
	if res.Status >= fasthttp.StatusInternalServerError {
		n.heldFailure = p
		return &FailedError{t.Upstream().ID, res.Status}
	}
	return p.respond(n)
}

// unusable says why an answer must not reach the caller, or nothing. A success without the upstream's signature may be
// another's; statuses that promise "not run" come only with the upstream's own promise, which is handled before.
func unusable(status int, reply Reply) string {
	switch {
	case status/100 == 2 && !reply.Sealed:
		return "a success without a signature"
	case status/100 == 1 || status/100 == 3:
		return "neither a success nor a failure"
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable,
		status == fasthttp.StatusRequestTimeout:
		return "a refusal without the promise that it did not run"
	}
	return ""
}

// relayRest gives on an answer that is too long to be held.
func (n *run) relayRest(ctx context.Context, res *httpclient.Response, p *plainResponse) error {
	if err := n.x.Stream(p.status, p.headers); err != nil {
		res.Release(false)
		return err
	}
	err := n.x.Write(ctx, p.body)
	buf := make([]byte, 32<<10)
	for err == nil {
		var got int
		got, err = res.Body.Read(buf)
		if got > 0 {
			if werr := n.x.Write(ctx, buf[:got]); werr != nil {
				err = werr
			}
		}
	}
	res.Release(err == io.EOF)
	if err != io.EOF {
		return err
	}
	return n.x.End()
}
