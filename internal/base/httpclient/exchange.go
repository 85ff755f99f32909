package httpclient

import (
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// aheadBytes is the largest body that is written before the answer is read. It fits the smallest send buffer in use,
	// so that the write does not wait for a peer that answers first.
	aheadBytes = 4 << 10
	// maxMismatched is how many answers in a row may belong to other requests before the connection is given up.
	maxMismatched = 4
)

// sending is the outcome of writing a request.
type sending struct {
	ended chan struct{}
	err   error
}

// done reports whether the whole request was written. A peer may answer before it has read a long body, and reads on
// later: a connection that still owes it bytes must not carry another request.
func (s *sending) done() bool {
	select {
	case <-s.ended:
		return s.err == nil
	default:
		return false
	}
}

// send writes the request; a long body is written beside the reading of the answer.
func (c *clientConn) send(req *fasthttp.Request) *sending {
	s := &sending{ended: make(chan struct{})}
	write := func() {
		defer close(s.ended)
		if s.err = req.Write(c.writer); s.err == nil {
			s.err = c.writer.Flush()
		}
	}
	if len(req.Body()) <= aheadBytes {
		write()
	} else {
		go write()
	}
	return s
}

// receive reads answers until one matches. The stage names what failed.
func (c *clientConn) receive(match Match, head bool, written *sending) (res *fasthttp.Response, stage string, err error) {
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
		c.keep = keepAlive(&res.Header, c.keep)
		if match == nil || match(&res.Header) {
			return res, "", nil
		}
		if err := dropBody(res); err != nil {
			return res, "drop foreign answer from", err
		}
	}
	return res, "match answers from", &MismatchedResponseError{maxMismatched}
}

func failedStage(written *sending) string {
	if written.done() {
		return "read from"
	}
	return "write to"
}

// dropBody reads a foreign answer to its end. One without a length never ends before the connection does.
func dropBody(res *fasthttp.Response) error {
	if res.Header.ContentLength() < -1 {
		return &MismatchedResponseError{1}
	}
	if stream := res.BodyStream(); stream != nil {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return err
		}
	}
	return res.CloseBodyStream()
}

// MismatchedResponseError says that only answers to other requests came.
type MismatchedResponseError struct{ Responses int }

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return strconv.Itoa(e.Responses) + " answers in a row belong to other requests"
}

// keepAlive returns for how long the peer keeps an idle connection, less a margin for the way; known is what was known
// before. Peers state whole seconds, rounded down.
func keepAlive(h *fasthttp.ResponseHeader, known time.Duration) time.Duration {
	_, after, found := strings.Cut(string(h.Peek("Keep-Alive")), "timeout=")
	if !found {
		return known
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return known
	}
	return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
}

// keepAliveMargin covers the way of a request to the peer, which may take a retransmission of 200 ms.
const keepAliveMargin = 250 * time.Millisecond
