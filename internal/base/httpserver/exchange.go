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

// ConnectionClosedError says that the caller closed its connection, or left an answer unread for too long.
type ConnectionClosedError struct{ Reason string }

// Error implements error.
func (e *ConnectionClosedError) Error() string { return "caller gone: " + e.Reason }

// Header is one header line of an answer.
type Header struct{ Name, Value string }

// Exchange is one request with the means to answer it. It is used by one goroutine.
type Exchange struct {
	// Req is valid until the handler returns.
	Req       *fasthttp.Request
	conn      *conn
	close     bool
	responded bool
	stream    bool
	size      [sizeBytes]byte
}

// Close makes the connection end after this answer.
func (x *Exchange) Close() { x.close = true }

// Responded reports whether an answer was begun.
func (x *Exchange) Responded() bool { return x.responded }

// FailureBody is the JSON body of a typed failure.
type FailureBody struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail is what FailureBody holds; NotRun promises that the request did not start anywhere.
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

// Fail answers with a typed failure: status, headers and JSON body.
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

// Respond answers with a whole body. Errors: *ConnectionClosedError.
func (x *Exchange) Respond(status int, headers []Header, body []byte) error {
	x.responded = true
	return x.conn.write(x.head(status, headers, len(body)), body)
}

// Stream begins an answer whose body is sent in pieces. Errors: *ConnectionClosedError.
func (x *Exchange) Stream(status int, headers []Header) error {
	x.responded = true
	x.stream = true
	return x.conn.write(x.head(status, headers, chunked))
}

// Write sends one piece of a streamed body, which may be reused when Write returns; it waits while the caller leaves
// too much unread. Errors: *ConnectionClosedError.
func (x *Exchange) Write(ctx context.Context, piece []byte) error {
	if len(piece) == 0 {
		return nil
	}
	if err := x.waitForReader(ctx); err != nil {
		return err
	}
	size := append(strconv.AppendInt(x.size[:0], int64(len(piece)), 16), lineEnd...)
	return x.conn.write(size, piece, lineEnd)
}

// End completes a streamed body. A stream that is not ended is cut off, which the caller sees.
func (x *Exchange) End() error {
	x.stream = false
	return x.conn.write(lastChunk)
}

const (
	// chunked stands for a body of unknown length, as fasthttp encodes it.
	chunked = -1
	// sizeBytes is room for a chunk's length in hexadecimal and its line end.
	sizeBytes = 18
	// unreadPoll is how often a stream that waits for its reader looks again.
	unreadPoll = 5 * time.Millisecond
)

var (
	lineEnd   = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// heads keeps headers between answers; headBytes is room for a usual one.
var heads = sync.Pool{New: func() any { return &fasthttp.ResponseHeader{} }}

const headBytes = 384

func (x *Exchange) head(status int, headers []Header, length int) []byte {
	h := heads.Get().(*fasthttp.ResponseHeader)
	defer heads.Put(h)
	h.Reset()
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(status)
	h.SetContentLength(length)
	for _, v := range headers {
		h.Add(v.Name, v.Value)
	}
	if x.close || x.conn.srv.closing.Load() {
		x.close = true
		h.SetConnectionClose()
	}
	return h.AppendBytes(make([]byte, 0, headBytes))
}

// abandon closes a connection whose handler returned without a whole answer. The caller must see the cut: a
// connection left open would make it wait, and the next answer on it would be taken for this one.
func (x *Exchange) abandon() {
	if !x.responded {
		x.Fail(failure.New(failure.CodeInternal, nil))
	}
	if x.stream {
		x.close = true
	}
}

func (x *Exchange) waitForReader(ctx context.Context) error {
	limit := int64(x.conn.srv.limits.Load().MaxUnreadBytes)
	for x.conn.unread.Load() > limit {
		select {
		case <-ctx.Done():
			return &ConnectionClosedError{"cancelled while the caller left the answer unread"}
		case <-time.After(unreadPoll):
		}
		_ = x.conn.gc.Wake(nil)
	}
	return nil
}
