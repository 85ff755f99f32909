package gateway

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/tracing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/notrun"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// statusOtherInstance is the response of an upstream that is not the addressed instance.
const statusOtherInstance = fasthttp.StatusMisdirectedRequest

// hopByHopHeaders are the header fields that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// sendInput is what an attempt is sent with.
type sendInput struct {
	placedAt time.Time
	// lastEvent is the id of the event after which a stream is to go on; empty for all of it.
	lastEvent string
	// elsewhere is set if another attempt may take the place of this one.
	elsewhere bool
}

// send writes the request to the upstream that it was placed at and reads the header of the response that carries the attempt's
// id. It also returns the errors of checkPlacement.
func (n *run) send(ctx context.Context, t *dispatch.Ticket, in sendInput) (*httpclient.Response, error) {
	to := t.Upstream()
	req := &fasthttp.Request{} // not from the pool: a response may come before the request is written
	n.writeRequest(req, to, in.lastEvent)
	return n.g.client.Do(ctx, to.Address, httpclient.Exchange{
		Request:   req,
		Instance:  to.Incarnation().String(),
		ID:        n.r.call.Attempt,
		ReadID:    n.g.dialect.ResponseAttempt,
		MayLackID: n.mayLackAttemptID,
		IsForeign: func(h *fasthttp.ResponseHeader) bool { return n.isForeign(to, h, in.elsewhere) },
		Single:    n.g.dialect.SingleResponseFields(),
		MayWrite:  func() error { return n.checkPlacement(to, t.PlacementInputs(), in.placedAt) },
		OnForeign: func(h *fasthttp.ResponseHeader) { n.g.logForeignResponse(n, to, h) },
		Patience:  n.patience(in.elsewhere, time.Now()),
	})
}

// maxPatience is how long a request that may be sent elsewhere waits for the rest of a response's header, or of a response to another
// request: several retransmissions of a packet.
const maxPatience = 500 * time.Millisecond

// patience returns how long the attempt may wait for the rest of what has begun to arrive; 0 for as long as the caller waits, since
// there is nothing better to do.
func (n *run) patience(elsewhere bool, now time.Time) time.Duration {
	if !elsewhere {
		return 0
	}
	return max(time.Millisecond, min(maxPatience, n.r.deadline.Sub(now)/2))
}

// mayGoElsewhere reports whether another attempt may follow the present one, whatever the upstream has done with it.
func (n *run) mayGoElsewhere() bool {
	repeatable := n.r.route.Repeatable() && (!n.x.Responded() || n.r.route.Resumable)
	return repeatable && n.sent+1 < n.r.route.Attempts && n.trial == nil
}

// mayLackAttemptID reports whether a response that is the first on its connection may lack the attempt's id, because the upstream did
// not read the request that far.
func (n *run) mayLackAttemptID(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == statusOtherInstance || h.StatusCode() == fasthttp.StatusBadRequest && n.g.dialect.ReadResponse(h).NotRun
}

// isForeign reports whether a response to an attempt at an upstream cannot be its answer, by what the response says. A request that may
// be sent elsewhere does not wait for the answer after it.
func (n *run) isForeign(to *catalog.Upstream, h *fasthttp.ResponseHeader, elsewhere bool) bool {
	if h.StatusCode() != statusOtherInstance || elsewhere {
		return false
	}
	info := n.g.dialect.ReadResponse(h)
	return notrun.Response{Status: h.StatusCode(), Addressed: to.ID, Responder: info.Instance}.Foreign()
}

// writeRequest builds the request to the upstream: the caller's method, path, body and header without hop-by-hop
// fields, and the fields that the gateway sets.
func (n *run) writeRequest(req *fasthttp.Request, to *catalog.Upstream, lastEvent string) {
	n.requestMu.Lock() // a successor and its attempt read the caller's request at the same time, and reading a header changes it
	defer n.requestMu.Unlock()
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
		LastEvent: lastEvent,
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
