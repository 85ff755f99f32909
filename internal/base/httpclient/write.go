package httpclient

import (
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"
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

// settleTime is how long the writer of a request may take to report that it is written once the peer has responded to it.
const settleTime = 100 * time.Millisecond

// bodyEnd returns what the end of the connection means for a body that it delimits: io.EOF if the request was written before, else
// *UnwrittenRequestError. The system reports the failure of a connection once; if the writer got it, the reader sees an ordinary end.
func (s *writeResult) bodyEnd() error {
	timer := time.NewTimer(settleTime)
	defer timer.Stop()
	select {
	case <-s.finished:
		if s.err != nil {
			return &UnwrittenRequestError{s.err}
		}
		return io.EOF
	case <-timer.C:
		return &UnwrittenRequestError{}
	}
}

// UnwrittenRequestError reports that the connection ended while the request was being written, so that its end does not tell where the
// body ends.
type UnwrittenRequestError struct {
	// Cause is the error of the writer; nil if it has not finished.
	Cause error
}

// Error implements error.
func (e *UnwrittenRequestError) Error() string {
	if e.Cause == nil {
		return "connection ended before the request was written"
	}
	return fmt.Sprintf("connection ended before the request was written: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnwrittenRequestError) Unwrap() error { return e.Cause }

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
