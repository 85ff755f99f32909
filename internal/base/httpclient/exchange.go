package httpclient

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxInlineBody is the size in bytes of the largest request body that is written before the response is read. It fits
	// the smallest send buffer in use, so the write does not block on a peer that responds before it reads the body.
	maxInlineBody = 4 << 10
	// maxMismatched is the number of consecutive responses to other requests after which the connection is closed.
	maxMismatched = 4
)

// writeResult is the result of writing a request. err is valid once finished is closed.
type writeResult struct {
	finished chan struct{}
	err      error
}

// succeeded reports whether the complete request was written. A peer may respond before it has read a long body and read
// the rest later, so a connection with unsent request bytes must not carry another request.
func (s *writeResult) succeeded() bool {
	select {
	case <-s.finished:
		return s.err == nil
	default:
		return false
	}
}

// send writes the request. A request with a body over maxInlineBody is written concurrently with reading the response.
func (c *clientConn) send(req *fasthttp.Request) *writeResult {
	s := &writeResult{finished: make(chan struct{})}
	write := func() {
		defer close(s.finished)
		if s.err = req.Write(c.writer); s.err == nil {
			s.err = c.writer.Flush()
		}
	}
	if len(req.Body()) <= maxInlineBody {
		write()
	} else {
		go write()
	}
	return s
}

// receive reads responses until one matches. If it fails, stage names the failed step for BrokenError.
func (c *clientConn) receive(match Match, head bool, written *writeResult) (res *fasthttp.Response, stage string, err error) {
	res = fasthttp.AcquireResponse()
	defer func() {
		if err != nil {
			fasthttp.ReleaseResponse(res)
		}
	}()
	for range maxMismatched {
		res.Reset()
		res.StreamBody = true
		res.SkipBody = head
		if err := res.Read(c.reader); err != nil {
			return res, failedStage(written), err
		}
		c.idleTimeout = keepAlive(&res.Header, c.idleTimeout)
		if match == nil || match(&res.Header) {
			return res, "", nil
		}
		if err := discardBody(res); err != nil {
			return res, "discard mismatched response from", err
		}
	}
	return res, "match responses from", &MismatchedResponseError{maxMismatched}
}

func failedStage(written *writeResult) string {
	if written.succeeded() {
		return "read from"
	}
	return "write to"
}

// discardBody reads a mismatched response to its end. It fails for a response without a length, which only ends with the
// connection.
func discardBody(res *fasthttp.Response) error {
	if res.Header.ContentLength() == closeDelimited {
		return &MismatchedResponseError{1}
	}
	if stream := res.BodyStream(); stream != nil {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return err
		}
	}
	return res.CloseBodyStream()
}

// MismatchedResponseError reports that only responses to other requests arrived.
type MismatchedResponseError struct{ Responses int }

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return strconv.Itoa(e.Responses) + " consecutive responses belong to other requests"
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
