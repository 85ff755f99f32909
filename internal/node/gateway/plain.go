package gateway

import (
	"bytes"
	"context"
	"io"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// plainResponse is the buffered status, header and body of a response.
type plainResponse struct {
	status  int
	headers []httpserver.Header
	body    []byte
	// memory is the reservation for the body.
	memory *reservation
	// endUnproven is set if only the close of the upstream's connection tells that the body is complete.
	endUnproven bool
}

// respond sends the response to the caller. If the upstream did not say where the body ends, neither does the gateway.
func (p *plainResponse) respond(ctx context.Context, n *run) error {
	if p.endUnproven {
		return n.x.RespondUntilClose(ctx, p.status, p.headers, p.body)
	}
	return n.x.Respond(p.status, p.headers, p.body)
}

// relayPlain reads a response that is not a stream and relays it to the caller.
//
// If the connection to the upstream breaks within a body, the caller must not mistake the received part for the full
// body: the response is relayed only once it is complete, with its length.
func (n *run) relayPlain(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, info ResponseInfo) error {
	if reason := n.unusable(res, info); reason != "" {
		res.Release(false)
		return &ResponseError{t.Upstream().ID, res.Status, reason}
	}
	body, err := n.readBody(res)
	p := &plainResponse{res.Status, responseHeaders(res.Header), body.bytes, body.memory, res.CloseDelimited}
	defer n.freeUnlessKept(p)
	if err != nil {
		res.Release(false)
		return &httpclient.BrokenError{Address: t.Upstream().Address, Stage: "read body from", Cause: err}
	}
	if !body.whole && n.asksElsewhere(ctx, body) {
		res.Release(false)
		return &LongBodyError{t.Upstream().ID}
	}
	if !n.handovers.complete() {
		res.Release(false)
		return &MovedError{Upstream: t.Upstream().ID}
	}
	n.service.gate.Responded(t)
	if !body.whole {
		n.recordFirstPiece()
		return n.relayRest(ctx, t, res, p)
	}
	n.service.longBodies.Record(false)
	contentType := string(res.Header.ContentType())
	holdsHeader := res.HoldsHeader()
	res.Release(true)
	if err := n.checkEnd(ctx, t, p, contentType); err != nil {
		return err
	}
	if err := n.checkHeldHeader(t.Upstream().ID, p, holdsHeader); err != nil {
		return err
	}
	n.recordFirstPiece()
	if res.Status >= fasthttp.StatusInternalServerError {
		n.keep(&n.bufferedFailure, p)
		return &FailedError{t.Upstream().ID, res.Status}
	}
	return p.respond(ctx, n)
}

// unusable returns why a response must not reach the caller, or "". A success without a signature may come from another
// process. A status that means "not run" is valid only with the upstream's promise, and responses with a promise have
// already been handled by attempt. Callers cannot parse a status of fewer than three digits.
func (n *run) unusable(res *httpclient.Response, info ResponseInfo) string {
	status := res.Status
	switch {
	case status/100 == 2 && !info.Signed:
		return "success without a signature"
	case status/100 == 2 && n.isEncoded(res):
		return "success in an encoding that the caller did not ask for"
	case status/100 != 2 && status/100 != 4 && status/100 != 5:
		return "status is neither a success nor a failure"
	case status == fasthttp.StatusTooManyRequests, status == fasthttp.StatusServiceUnavailable,
		status == fasthttp.StatusRequestTimeout:
		return "refusal without the promise that the request did not run"
	}
	return ""
}

// isEncoded reports whether a body has an encoding that the caller did not ask for, and so is not the upstream's answer to it.
func (n *run) isEncoded(res *httpclient.Response) bool {
	n.requestMu.Lock()
	defer n.requestMu.Unlock()
	return !isIdentity(res.Header.Peek("Content-Encoding")) && isIdentity(n.x.Req.Header.Peek("Accept-Encoding"))
}

// isIdentity reports whether the value of an encoding field stands for an unencoded body.
func isIdentity(value []byte) bool {
	return len(value) == 0 || bytes.EqualFold(value, []byte("identity"))
}

// relayRest relays a response that is too long to be buffered.
func (n *run) relayRest(ctx context.Context, t *dispatch.Ticket, res *httpclient.Response, p *plainResponse) error {
	err := n.startRest(ctx, p)
	buf := make([]byte, minRelayBytes)
	for err == nil {
		var size int
		size, err = res.Body.Read(buf)
		if size > 0 {
			if werr := n.x.Write(ctx, buf[:size]); werr != nil {
				err = werr
			}
		}
		buf = relayBuffer(buf, size)
	}
	res.Release(err == io.EOF)
	if err != io.EOF {
		return err
	}
	n.service.longBodies.Record(true)
	if p.endUnproven {
		if err := n.checkAlive(ctx, t.Upstream()); err != nil {
			return err
		}
	}
	return n.x.End()
}

// startRest sends the header and the buffered part of the body.
func (n *run) startRest(ctx context.Context, p *plainResponse) error {
	start := n.x.Stream
	if p.endUnproven {
		start = n.x.StreamUntilClose
	}
	if err := start(p.status, p.headers); err != nil {
		return err
	}
	body := p.body
	p.body = nil // what is written need not be kept until the end of the rest
	return n.writePieces(ctx, body)
}

const (
	// relayPieceBytes is the maximum size of one write to the caller: only between writes does the gateway wait for a caller that reads
	// slowly.
	relayPieceBytes = 16 << 10
	// minRelayBytes is the size of the buffer of a body that arrives slowly, or not at all.
	minRelayBytes = 4 << 10
)

// relayBuffer returns the buffer for the next read of a body, given the last one and how much was read into it.
func relayBuffer(last []byte, read int) []byte {
	switch {
	case read == len(last) && len(last) < relayPieceBytes:
		return make([]byte, 2*len(last))
	case read <= len(last)/2 && len(last) > minRelayBytes:
		return make([]byte, minRelayBytes)
	}
	return last
}

func (n *run) writePieces(ctx context.Context, body []byte) error {
	for piece := range slices.Chunk(body, relayPieceBytes) {
		if err := n.x.Write(ctx, piece); err != nil {
			return err
		}
	}
	return nil
}
