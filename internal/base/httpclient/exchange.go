package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Exchange is a request and what tells its response from all others.
type Exchange struct {
	Request *fasthttp.Request
	// Instance is the process at the address that the request is meant for; empty if any will do.
	Instance string
	// ID is the request's id, which the peer repeats in the response; empty if it has none.
	ID string
	// ReadID returns the id that a response bears, "" if it bears none. It is required if ID is set.
	ReadID func(*fasthttp.ResponseHeader) string
	// MayLackID reports whether the response may come without the id; nil if it may not.
	MayLackID func(*fasthttp.ResponseHeader) bool
	// IsForeign reports whether a response cannot be the answer, whatever id it bears; nil if that cannot be told.
	IsForeign func(*fasthttp.ResponseHeader) bool
	// MayWrite is called once there is a connection, right before the request is written. If it returns an error, nothing is
	// sent. Establishing a connection takes time, in which the reason to send the request may cease to hold. It may be nil.
	MayWrite func() error
	// OnForeign is called with each response that is not taken for the answer; it may be nil.
	OnForeign func(*fasthttp.ResponseHeader)
	// Patience is how long a response may take from its first byte until its header, or all of it if it is not the answer, has
	// arrived; 0 for as long as the context lasts.
	Patience time.Duration
}

const (
	// maxUnansweredBytes is how many bytes are read from a connection before the header of the answer is complete.
	maxUnansweredBytes = 1 << 20
	// maxForeign and maxInterim are how many responses to other requests, and interim responses, may precede an answer.
	maxForeign = 4
	maxInterim = 8
)

// UnansweredError reports that what arrived did not become the answer within the bound of bytes or of time.
type UnansweredError struct {
	// Bytes is the bound that was reached; 0 if it was that of time.
	Bytes int
	// After is the time that a response might have taken, from its first byte.
	After time.Duration
}

// Error implements error.
func (e *UnansweredError) Error() string {
	if e.Bytes > 0 {
		return fmt.Sprintf("no answer within %d bytes", e.Bytes)
	}
	return fmt.Sprintf("a response had no end %v after its first byte", e.After)
}

// ForeignResponseError reports that only interim responses and those to other requests arrived.
type ForeignResponseError struct{ Responses int }

// Error implements error.
func (e *ForeignResponseError) Error() string {
	return strconv.Itoa(e.Responses) + " consecutive responses are no answer"
}

// JoinedHeadersError reports that a header contains the status line of another response.
type JoinedHeadersError struct{}

// Error implements error.
func (*JoinedHeadersError) Error() string { return "header contains the beginning of another response" }

// receive reads responses until one is the answer. If it fails, stage names the failed step for BrokenError.
func (c *clientConn) receive(x *Exchange, written *writeResult) (res *Response, stage string, err error) {
	raw := fasthttp.AcquireResponse()
	defer func() {
		if err != nil {
			fasthttp.ReleaseResponse(raw)
		}
	}()
	c.in.bound(maxUnansweredBytes)
	defer c.in.bound(0)
	interim, foreign := 0, 0
	for interim <= maxInterim && foreign < maxForeign {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, failedStage(written), err
		}
		owns, identified, err := c.receiveOne(raw, x)
		switch {
		case err != nil:
			return nil, failedStage(written), err
		case owns:
			c.idleTimeout = keepAlive(&raw.Header, c.idleTimeout)
			return newResponse(raw, c, identified), "", nil
		case isInterim(raw.StatusCode()):
			interim++
		default:
			foreign++
		}
	}
	return nil, "match responses from", &ForeignResponseError{interim + foreign}
}

// receiveOne reads the header of the response that has begun to arrive, and all of it if it is not the answer.
func (c *clientConn) receiveOne(raw *fasthttp.Response, x *Exchange) (owns, identified bool, err error) {
	if !c.headerIsBuffered() {
		defer c.startPatience(x.Patience)()
	}
	raw.Reset()
	if c.statusIsZero() {
		return false, false, &InvalidStatusError{}
	}
	if err := raw.Header.Read(c.reader); err != nil {
		return false, false, explain(err, x)
	}
	if joinsHeaders(&raw.Header) {
		return false, false, &JoinedHeadersError{}
	}
	if isInterim(raw.StatusCode()) {
		return false, false, nil
	}
	if err := c.beginBody(raw, x); err != nil {
		return false, false, explain(err, x)
	}
	if owns, identified = c.judge(x, &raw.Header); owns {
		return owns, identified, nil
	}
	c.skipped = true
	if x.OnForeign != nil {
		x.OnForeign(&raw.Header)
	}
	defer c.startPatience(x.Patience)()
	return false, false, explain(discardBody(raw), x)
}

// isInterim reports whether a final response follows one with the status (RFC 9110, section 15.2).
func isInterim(status int) bool {
	return status/100 == 1 && status != fasthttp.StatusSwitchingProtocols
}

// beginBody makes the body, if there is one, available as a stream.
func (c *clientConn) beginBody(raw *fasthttp.Response, x *Exchange) error {
	status := raw.StatusCode()
	if x.Request.Header.IsHead() || status/100 == 1 || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	raw.StreamBody = true
	return raw.ReadBody(c.reader, 0)
}

// judge reports whether a response is the answer to the exchange, and whether its id says so.
//
// An id that the connection has carried once can only be that of the latest request. A response without an id may be a late copy
// of one to an earlier request, so it counts only where there was none.
func (c *clientConn) judge(x *Exchange, h *fasthttp.ResponseHeader) (owns, identified bool) {
	if x.IsForeign != nil && x.IsForeign(h) {
		return false, false
	}
	if x.ID == "" {
		return true, false
	}
	id := x.ReadID(h)
	if id != "" {
		return id == x.ID, id == x.ID
	}
	return c.isFirst() && x.MayLackID != nil && x.MayLackID(h), false
}

// joinsHeaders reports whether the header of a response that was cut off runs on in that of another one. The status would be that of
// the first, and the id that of the second.
func joinsHeaders(h *fasthttp.ResponseHeader) bool {
	if endsInOtherStatus(h.StatusMessage()) {
		return true
	}
	for _, value := range h.All() {
		if endsInOtherStatus(value) {
			return true
		}
	}
	return false
}

// otherStatus matches the status line of another response at the end of a line.
var otherStatus = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}( .{0,64})?$`)

func endsInOtherStatus(line []byte) bool {
	return bytes.Contains(line, []byte(statusLinePrefix)) && otherStatus.Match(line)
}

// headerIsBuffered reports whether a complete header has arrived.
func (c *clientConn) headerIsBuffered() bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// startPatience bounds the time of further reads, and returns the function that ends the bound.
func (c *clientConn) startPatience(d time.Duration) (end func()) {
	if d <= 0 {
		return func() {}
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	return func() { _ = c.SetReadDeadline(time.Time{}) }
}

// explain replaces a timeout by the bound that it stands for.
func explain(err error, x *Exchange) error {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) {
		return &UnansweredError{After: x.Patience}
	}
	return err
}

func failedStage(written *writeResult) string {
	if written.succeeded() {
		return "read from"
	}
	return "write to"
}

// discardBody reads a foreign response to its end. It fails for a response without a length, which only ends with the
// connection.
func discardBody(res *fasthttp.Response) error {
	if res.Header.ContentLength() == closeDelimited {
		return &ForeignResponseError{1}
	}
	if stream := res.BodyStream(); stream != nil {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return err
		}
	}
	return res.CloseBodyStream()
}

// keepAlive returns how long the peer keeps an idle connection according to its Keep-Alive header, less
// keepAliveMargin. It returns previous if the header has no valid timeout. Peers state whole seconds, rounded down.
func keepAlive(h *fasthttp.ResponseHeader, previous time.Duration) time.Duration {
	_, after, found := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !found {
		return previous
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return previous
	}
	return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
}

// keepAliveMargin covers the transit time of a request to the peer, which may include a retransmission after 200 ms.
const keepAliveMargin = 250 * time.Millisecond
