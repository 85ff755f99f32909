package httpclient

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Response is a response whose header was read and whose body can be read from Body. Release must be called once.
type Response struct {
	// Status is the HTTP status.
	Status int
	Header *fasthttp.ResponseHeader
	// Reused is set if the connection has carried other requests before.
	Reused bool
	// Identified is set if the response bore the id of its request.
	Identified bool
	// First is set if the connection had carried nothing but the request and this response, apart from interim responses.
	First bool
	// CloseDelimited is set if the response has neither a length nor chunks, so that its body ends when the peer closes the
	// connection (RFC 9112, section 6.3). Such a body that was cut off may look complete.
	CloseDelimited bool
	// Body returns io.EOF after the complete body, and another error if the response was truncated. If CloseDelimited is set,
	// io.EOF only means that the peer closed the connection after it was sent the whole request, *UnwrittenRequestError that it did
	// so before; *SecondResponseError that another response follows.
	Body io.Reader
	raw  *fasthttp.Response
	// body is nil if there is none.
	body     io.Reader
	client   *Client
	conn     *clientConn
	stop     func() bool
	complete bool
	aborted  atomic.Bool
	// bodyBytes counts the bytes of the body that were read.
	bodyBytes int64
	// written is the result of writing the request.
	written *writeResult
}

// closeDelimited is fasthttp's content length for a body that ends with its connection.
const closeDelimited = -2

func newResponse(raw *fasthttp.Response, body io.Reader, conn *clientConn, x *Exchange, identified bool) *Response {
	res := &Response{
		Status: raw.StatusCode(), Header: &raw.Header, Reused: conn.carried > 1, Identified: identified, First: conn.isFirst(),
		raw: raw, conn: conn,
	}
	res.CloseDelimited = raw.Header.ContentLength() == closeDelimited && body != nil
	switch {
	case res.CloseDelimited:
		res.body = &closeDelimitedReader{src: &untilCloseReader{body, res}}
	case body != nil:
		isStream := bytes.HasPrefix(raw.Header.ContentType(), []byte("text/event-stream"))
		res.body = &ownBodyReader{src: body, conn: conn, readID: x.ReadID, isStream: isStream}
	}
	res.Body = &bodyReader{res}
	return res
}

// Complete reports whether the body was read to its end.
func (res *Response) Complete() bool { return res.complete }

// BodyBytes returns how many bytes of the body were read.
func (res *Response) BodyBytes() int64 { return res.bodyBytes }

// bodyReader reads the body and records when it was read to its end.
type bodyReader struct{ response *Response }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	if r.response.body == nil {
		r.response.complete = true
		return 0, io.EOF
	}
	n, err := r.response.body.Read(p)
	r.response.bodyBytes += int64(n)
	if err == io.EOF {
		r.response.complete = true
	}
	return n, err
}

// HoldsHeader reports whether the part of the body that was read contains the whole header of a response: the text of the body
// itself, or another response by which a body that was cut off is filled up exactly.
func (res *Response) HoldsHeader() bool {
	own, ok := res.body.(*ownBodyReader)
	return ok && own.found == headerText
}

// AbortAfter makes reads of the body fail once the time has passed. stop must be called before Release.
func (res *Response) AbortAfter(d time.Duration) (stop func()) {
	fired := make(chan struct{})
	timer := time.AfterFunc(d, func() {
		defer close(fired)
		res.aborted.Store(true)
		_ = res.conn.Close()
	})
	return func() {
		if !timer.Stop() {
			<-fired
		}
	}
}

// Aborted reports whether the time of an AbortAfter has passed.
func (res *Response) Aborted() bool { return res.aborted.Load() }

// ReleaseUnread frees the response, whose body does not matter. Its connection is reused only if the body has already arrived.
func (res *Response) ReleaseUnread() {
	size := res.Header.ContentLength()
	if res.body == nil || size >= 0 && size <= res.conn.reader.Buffered() {
		_, err := io.Copy(io.Discard, res.Body)
		res.Release(err == nil)
		return
	}
	res.Release(false)
}

// Release frees the response, which must not be used afterwards. The connection is reused if trusted is set, the response is
// known to belong to its request, the body was read to its end and nothing follows it; otherwise the connection is closed.
//
// Without this rule, a late or duplicate response that is still on the connection would be read as the response to the
// next request. Closing the connection is sufficient, because bytes of one connection never reach another.
func (res *Response) Release(trusted bool) {
	notCancelled := res.stop()
	reusable := trusted && notCancelled && res.complete && res.written.succeeded() && !res.aborted.Load() &&
		!res.Header.ConnectionClose() && res.mayReuse() && res.conn.reusable()
	if !reusable {
		_ = res.conn.Close()
		<-res.written.finished // from here on the caller may reuse the request
	}
	fasthttp.ReleaseResponse(res.raw)
	if reusable && !res.client.pool.put(res.conn) {
		_ = res.conn.Close()
	}
}

// mayReuse reports whether a copy of the response could be told from the answer to a later request on the connection.
func (res *Response) mayReuse() bool {
	return res.Identified || res.client.opts.UnidentifiedFor > 0
}
