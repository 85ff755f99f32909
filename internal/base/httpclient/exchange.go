package httpclient

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
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
	// Single are the names of fields that a response may have once. Of several, one does not know which to believe.
	Single []string
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
		body, owns, identified, err := c.receiveOne(raw, x)
		switch {
		case err != nil:
			return nil, failedStage(written), err
		case owns:
			c.idleTimeout = keepAlive(&raw.Header, c.idleTimeout)
			return newResponse(raw, body, c, x, identified), "", nil
		case isInterim(raw.StatusCode()):
			interim++
		default:
			foreign++
		}
	}
	return nil, "match responses from", &ForeignResponseError{interim + foreign}
}

// receiveOne reads the header of the response that has begun to arrive, and all of it if it is not the answer.
func (c *clientConn) receiveOne(raw *fasthttp.Response, x *Exchange) (body io.Reader, owns, identified bool, err error) {
	if !c.headerIsBuffered() {
		defer c.startPatience(x.Patience)()
	}
	raw.Reset()
	if c.statusIsZero() {
		return nil, false, false, &InvalidStatusError{}
	}
	if err := c.readHeader(&raw.Header, x.Single); err != nil {
		return nil, false, false, explain(err, x)
	}
	if isInterim(raw.StatusCode()) {
		return nil, false, false, nil
	}
	body = c.newBody(&raw.Header, x.Request.Header.IsHead())
	if owns, identified = c.judge(x, &raw.Header); owns {
		return body, owns, identified, nil
	}
	c.skipped = true
	if x.OnForeign != nil {
		x.OnForeign(&raw.Header)
	}
	defer c.startPatience(x.Patience)()
	return nil, false, false, explain(discardBody(&raw.Header, body), x)
}

// isInterim reports whether a final response follows one with the status (RFC 9110, section 15.2).
func isInterim(status int) bool {
	return status/100 == 1 && status != fasthttp.StatusSwitchingProtocols
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

// headerIsBuffered reports whether a complete header has arrived.
func (c *clientConn) headerIsBuffered() bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return bytes.Contains(buffered, sectionEnd)
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
func discardBody(h *fasthttp.ResponseHeader, body io.Reader) error {
	if body == nil {
		return nil
	}
	if h.ContentLength() == closeDelimited {
		return &ForeignResponseError{1}
	}
	_, err := io.Copy(io.Discard, body)
	return err
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
