package httpserver

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// Header names of typed failures; docs/api.md lists them.
const (
	HeaderFailure = "Cardamomyoke-Failure"
	HeaderProof   = "Cardamomyoke-Proof"
)

// ConnectionClosedError reports that the connection to the caller is closed, or that the request was cancelled while the
// caller left the response unread.
type ConnectionClosedError struct{ Reason string }

// Error implements error.
func (e *ConnectionClosedError) Error() string { return "caller disconnected: " + e.Reason }

// Header is one header line of a response.
type Header struct{ Name, Value string }

// Exchange is one request together with its response writer. It is not safe for concurrent use.
type Exchange struct {
	// Req is valid until the handler returns.
	Req       *fasthttp.Request
	conn      *conn
	close     bool
	responded bool
	streaming bool
	// untilClose is set if the body ends with the connection.
	untilClose bool
	// onEnd is called with the answer's end; nil for none.
	onEnd     func(AnswerEnd)
	chunkSize [chunkSizeBytes]byte
}

// Close makes the server close the connection after this response.
func (x *Exchange) Close() { x.close = true }

// OnEnd sets a function that is called once, after the handler has returned, when it is known how the answer ended at the caller's
// connection. It must not block.
func (x *Exchange) OnEnd(f func(AnswerEnd)) { x.onEnd = f }

// closer returns what closes the connection after the answer.
func (x *Exchange) closer() Closer {
	if x.streaming {
		return ClosedByHandler
	}
	return ClosedByServer
}

// Responded reports whether a response was started.
func (x *Exchange) Responded() bool { return x.responded }

// FailureBody is the JSON body of a typed failure.
type FailureBody struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes a typed failure. NotRun promises that the request was not started on any upstream.
type FailureDetail struct {
	Code         failure.Code  `json:"code"`
	NotRun       bool          `json:"not_run"`
	Proof        failure.Proof `json:"proof,omitempty"`
	Resend       bool          `json:"resend"`
	RetryAfterMS int64         `json:"retry_after_ms,omitempty"`
	Message      string        `json:"message"`
}

// DetailOf returns the JSON form of a failure.
func DetailOf(e *failure.Error) FailureDetail {
	m := e.Code.Meaning()
	return FailureDetail{
		Code:         e.Code,
		NotRun:       m.NotRun,
		Proof:        e.Proof,
		Resend:       m.Resend,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Message:      e.Error(),
	}
}

// Fail responds with a typed failure: status, headers and JSON body.
func (x *Exchange) Fail(e *failure.Error, extra ...Header) {
	body, err := json.Marshal(FailureBody{DetailOf(e)})
	if err != nil {
		body = nil
	}
	headers := append([]Header{{HeaderFailure, string(e.Code)}, {"Content-Type", "application/json"}}, extra...)
	if e.Proof != failure.ProofNone {
		headers = append(headers, Header{HeaderProof, string(e.Proof)})
	}
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		headers = append(headers, Header{"Retry-After", strconv.Itoa(int(seconds))})
	}
	_ = x.Respond(e.Code.Meaning().Status, headers, body)
}

// Respond sends a complete response. Errors: *ConnectionClosedError.
func (x *Exchange) Respond(status int, headers []Header, body []byte) error {
	x.responded = true
	return x.conn.write(x.header(status, headers, len(body)), body)
}

// Stream starts a response whose body is sent in pieces by Write. Errors: *ConnectionClosedError.
func (x *Exchange) Stream(status int, headers []Header) error {
	x.responded = true
	x.streaming = true
	return x.conn.write(x.header(status, headers, chunked))
}

// Write sends one piece of a streamed body. It blocks while the caller has more unread than MaxUnreadBytes or its part of
// MaxUnreadTotal, and while all callers together have more than that; never for minUnreadBytes. The piece may be reused
// after Write returns. Errors: *ConnectionClosedError.
func (x *Exchange) Write(ctx context.Context, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if err := x.waitForReader(ctx); err != nil {
		return err
	}
	if x.untilClose {
		return x.conn.write(piece)
	}
	size := append(strconv.AppendInt(x.chunkSize[:0], int64(len(piece)), 16), lineEnd...)
	return x.conn.write(size, piece, lineEnd)
}

// End completes a streamed body. If the handler returns without calling End, the connection is closed and the caller sees
// a truncated response.
func (x *Exchange) End() error {
	if x.untilClose {
		return x.endByClose()
	}
	x.streaming = false
	return x.conn.write(lastChunk)
}

const (
	// chunked is fasthttp's content length for a body of unknown length.
	chunked = -1
	// chunkSizeBytes fits a chunk's length in hexadecimal and its line end.
	chunkSizeBytes = 18
	// unreadPollInterval is how often a blocked Write checks whether the caller has read enough.
	unreadPollInterval = 5 * time.Millisecond
)

var (
	lineEnd   = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// headerPool reuses response headers; headerBufferBytes fits a typical one.
var headerPool = sync.Pool{New: func() any { return &fasthttp.ResponseHeader{} }}

const headerBufferBytes = 384

func (x *Exchange) header(status int, headers []Header, length int) []byte {
	h := headerPool.Get().(*fasthttp.ResponseHeader)
	defer headerPool.Put(h)
	h.Reset()
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(status)
	if length != untilClose {
		h.SetContentLength(length)
	}
	for _, v := range headers {
		h.Add(v.Name, v.Value)
	}
	if x.close || x.conn.closesAfterAnswer() {
		x.close = true
		h.SetConnectionClose()
	}
	return h.AppendBytes(make([]byte, 0, headerBufferBytes))
}

// completeOrClose handles a handler that returned without a complete response: it sends a failure if the response was not
// started, and marks the connection to be closed if a stream was not ended. On a connection left open the caller would
// wait for the rest, and would mistake the next response for it.
func (x *Exchange) completeOrClose() {
	if !x.responded {
		x.Fail(failure.New(failure.CodeInternal, nil))
	}
	if x.streaming {
		x.close = true
	}
}

// mayLeaveUnread reports whether a caller that has not taken own bytes may get more.
func (s *Server) mayLeaveUnread(own int64) bool {
	l := s.limits.Load()
	switch {
	case own > int64(l.MaxUnreadBytes):
		return false
	case own <= minUnreadBytes, l.MaxUnreadTotal <= 0:
		return true
	}
	total := int64(l.MaxUnreadTotal)
	return own <= total/max(s.busy.Load(), 1) && s.unread.Load() <= total
}

func (x *Exchange) waitForReader(ctx context.Context) error {
	// An upstream may send faster than the event loop fetches what is queued for the socket.
	for !x.conn.srv.mayLeaveUnread(x.conn.unread.Load() + int64(x.conn.out.size())) {
		select {
		case <-ctx.Done():
			return &ConnectionClosedError{"cancelled while the caller left the response unread"}
		case <-time.After(unreadPollInterval):
		}
		_ = x.conn.gc.Wake(nil)
	}
	return nil
}
