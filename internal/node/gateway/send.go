package gateway

import (
	"bytes"
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// statusOtherInstance is the response of an upstream that is not the addressed instance.
const statusOtherInstance = fasthttp.StatusMisdirectedRequest

// hopByHopHeaders are the header fields that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// send writes the request to the upstream that it was placed at and reads the header of the response that carries the attempt's
// id. It also returns the errors of checkPlacement.
func (n *run) send(ctx context.Context, t *dispatch.Ticket) (*httpclient.Response, error) {
	to := t.Upstream()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	n.writeRequest(req, to)
	attempt := n.r.call.Attempt
	match := func(h *fasthttp.ResponseHeader) bool {
		got := n.g.dialect.ReadResponse(h).Attempt
		matches := attempt == "" || got == attempt || mayLackAttemptID(h)
		if got != attempt {
			n.g.logForeignResponse(n, to, h.StatusCode(), got, matches)
		}
		return matches
	}
	return n.g.client.DoMatchingIf(ctx, to.Address, req, match, func() error { return n.checkPlacement(to, t.PlacementInputs()) })
}

// mayLackAttemptID reports whether a response may lack the attempt's id because the upstream did not read the request
// that far.
func mayLackAttemptID(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == statusOtherInstance || h.StatusCode() == fasthttp.StatusBadRequest
}

// writeRequest builds the request to the upstream: the caller's method, path, body and header without hop-by-hop
// fields, and the fields that the gateway sets.
func (n *run) writeRequest(req *fasthttp.Request, to *catalog.Upstream) {
	in := n.x.Req
	in.Header.CopyTo(&req.Header)
	h := &req.Header
	for _, name := range append(connectionFields(in.Header.PeekAll("Connection")), hopByHopHeaders...) {
		h.Del(name)
	}
	h.ResetConnectionClose()
	h.SetNoDefaultContentType(true)
	h.SetRequestURIBytes(in.Header.RequestURI())
	h.SetHostBytes(in.Header.Host())
	req.SetBodyRaw(in.Body())
	if n.trace != "" {
		h.Set(tracing.HeaderName, n.trace)
	}
	n.g.dialect.WriteUpstreamHeader(h, UpstreamHeader{
		Upstream:  to.ID,
		Client:    n.r.client,
		Remaining: time.Until(n.r.deadline),
		Priority:  n.r.priority,
		LastEvent: n.stream.lastEvent,
	})
}

// responseHeaders returns the header fields of an upstream's response that are relayed to the caller.
func responseHeaders(h *fasthttp.ResponseHeader) []httpserver.Header {
	omitted := append(connectionFields(h.PeekAll("Connection")), hopByHopHeaders...)
	omitted = append(omitted, "Content-Length")
	var out []httpserver.Header
	for key, value := range h.All() {
		name := string(key)
		isName := func(o string) bool { return strings.EqualFold(o, name) }
		if !slices.ContainsFunc(omitted, isName) {
			out = append(out, httpserver.Header{Name: name, Value: string(value)})
		}
	}
	return out
}

// connectionFields returns the names of the header fields that the values of Connection name.
func connectionFields(values [][]byte) []string {
	var names []string
	for _, value := range values {
		for name := range strings.SplitSeq(string(value), ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}

func isStream(res *httpclient.Response) bool {
	return bytes.HasPrefix(res.Header.ContentType(), []byte("text/event-stream"))
}

// maxDiscardedBytes is how much of a discarded response is read to reuse its connection.
const maxDiscardedBytes = 64 << 10

// discard reads a short response to its end, so that its connection can be reused.
func discard(res *httpclient.Response) {
	_, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBytes))
	res.Release(err == nil)
}
