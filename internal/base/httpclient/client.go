// Package httpclient sends fasthttp requests over connections that it pools itself.
//
// A ready-made client hides which connection a response arrived on and when that connection returns to its pool. Both
// determine whether a caller could receive another caller's response, so this pool is simple and strict. A connection is
// reused only if its response was read to the end and trusted by the user of this package, and no byte is left on the
// connection. fasthttp writes the requests and parses the responses.
package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// DialTimeout is the maximum time to establish a connection; default 500ms.
	DialTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address; default 256.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; default 30s. A shorter timeout in a response's Keep-Alive header
	// takes precedence.
	IdleTimeout time.Duration
	// SilentAfter is how long a peer may leave sent bytes or keep-alive probes unacknowledged before the connection fails.
	// 0 leaves this to the kernel, which waits for minutes.
	SilentAfter time.Duration
}

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxIdle     = 256
	defaultIdleTimeout = 30 * time.Second
	readBufferBytes    = 8 << 10
)

// DialError reports that no connection could be established, so nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// BrokenError reports that no matching response was read after the client began to send the request, which may have
// arrived. Stage names the step that failed.
type BrokenError struct {
	Address string
	Stage   string
	Cause   error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("%s %s: %v", e.Stage, e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Client sends requests and pools connections. It is safe for concurrent use.
type Client struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// idleTimeout is how long the connection may be idle before it is no longer reused. The peer's Keep-Alive header
	// replaces it, bounded by Options.IdleTimeout.
	idleTimeout time.Duration
}

// New returns a client with an empty pool.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	return &Client{opts: o, idle: map[string][]*clientConn{}}
}

// Response is a response whose header was read and whose body can be read from Body. Release must be called once.
type Response struct {
	// Status is the HTTP status.
	Status int
	Header *fasthttp.ResponseHeader
	// Reused is set if the connection has carried other requests before.
	Reused bool
	// CloseDelimited is set if the response has neither a length nor chunks, so that its body ends when the peer closes the
	// connection (RFC 9112, section 6.3). Such a body that was cut off may look complete.
	CloseDelimited bool
	// Body returns io.EOF after the complete body, and another error if the response was truncated. If CloseDelimited is set,
	// io.EOF only means that the peer closed the connection; *SecondResponseError that another response follows.
	Body     io.Reader
	raw      *fasthttp.Response
	client   *Client
	conn     *clientConn
	address  string
	stop     func() bool
	complete bool
	// bodyBytes counts the bytes of the body that were read.
	bodyBytes int64
	// written is the result of writing the request.
	written *writeResult
}

// Match reports whether a response belongs to the request. A response that does not match is read to its end and
// discarded.
type Match func(*fasthttp.ResponseHeader) bool

// Do sends req to address (IP:PORT) and reads the response header. The connection is closed when ctx is done, including
// while the body is read. Errors: *DialError, *BrokenError.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request) (*Response, error) {
	return c.DoMatching(ctx, address, req, nil)
}

// DoMatching is like Do, for peers that may send a response twice or late: responses that do not match are discarded.
//
// A second copy of an earlier response may arrive before the response to this request. A peer serves one request at a
// time on a connection, so mismatched responses always precede the expected one and can be discarded.
func (c *Client) DoMatching(ctx context.Context, address string, req *fasthttp.Request, match Match) (*Response, error) {
	return c.DoMatchingIf(ctx, address, req, match, nil)
}

// DoMatchingIf is like DoMatching, but calls mayWrite once there is a connection, right before it writes the request. If that
// returns an error, nothing is sent and the error is returned; nil permits each request.
//
// Establishing a connection takes time, in which the reason to send the request to this peer may cease to hold.
func (c *Client) DoMatchingIf(ctx context.Context, address string, req *fasthttp.Request, match Match, mayWrite func() error) (*Response, error) {
	conn, reused, err := c.get(ctx, address)
	if err != nil {
		return nil, err
	}
	if mayWrite != nil {
		if err := mayWrite(); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written := conn.send(req)
	raw, stage, err := conn.receive(match, req.Header.IsHead(), written)
	if err != nil {
		stop()
		_ = conn.Close()
		<-written.finished // from here on the caller may reuse the request
		return nil, &BrokenError{address, stage, errors.Join(err, ctx.Err())}
	}
	res := &Response{Status: raw.StatusCode(), Header: &raw.Header, Reused: reused, raw: raw, client: c, conn: conn, address: address, stop: stop, written: written}
	res.CloseDelimited = raw.Header.ContentLength() == closeDelimited && raw.BodyStream() != nil
	res.Body = &bodyReader{res}
	if res.CloseDelimited {
		res.Body = &closeDelimitedReader{src: res.Body}
	}
	return res, nil
}

// closeDelimited is fasthttp's content length for a body that ends with its connection.
const closeDelimited = -2

// BodyBytes returns how many bytes of the body were read.
func (res *Response) BodyBytes() int64 { return res.bodyBytes }

// bodyReader reads the body and records when it was read to its end.
type bodyReader struct{ response *Response }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	stream := r.response.raw.BodyStream()
	if stream == nil {
		r.response.complete = true
		return 0, io.EOF
	}
	n, err := stream.Read(p)
	r.response.bodyBytes += int64(n)
	if err == io.EOF {
		r.response.complete = true
	}
	return n, err
}

// Release frees the response, which must not be used afterwards. The connection is reused if trusted is set, the body was
// read to its end and nothing follows it; otherwise the connection is closed.
//
// Without this rule, a late or duplicate response that is still on the connection would be read as the response to the
// next request. Closing the connection is sufficient, because bytes of one connection never reach another.
func (res *Response) Release(trusted bool) {
	notCancelled := res.stop()
	reusable := trusted && notCancelled && res.complete && res.written.succeeded() && !res.Header.ConnectionClose() && res.conn.reader.Buffered() == 0
	if !reusable {
		_ = res.conn.Close()
		<-res.written.finished // from here on the caller may reuse the request
	}
	_ = res.raw.CloseBodyStream()
	fasthttp.ReleaseResponse(res.raw)
	if reusable && !res.client.put(res.address, res.conn) {
		_ = res.conn.Close()
	}
}

// Probe checks that address accepts connections, without sending anything. Errors: *DialError.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// ConfirmAlive is Probe after a request was sent to address. Errors: *NotAliveError.
func (c *Client) ConfirmAlive(ctx context.Context, address string) error {
	if err := c.Probe(ctx, address); err != nil {
		return &NotAliveError{address, err.Error()}
	}
	return nil
}

// NotAliveError reports that a peer accepts no connections after a request. It does not wrap the *DialError, which would prove
// that nothing was sent.
type NotAliveError struct{ Address, Reason string }

// Error implements error.
func (e *NotAliveError) Error() string {
	return fmt.Sprintf("%s accepts no connections: %s", e.Address, e.Reason)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		for _, conn := range list {
			_ = conn.Close()
		}
		delete(c.idle, address)
	}
}

func (c *Client) get(ctx context.Context, address string) (conn *clientConn, reused bool, err error) {
	for {
		conn := c.pop(address)
		if conn == nil {
			break
		}
		if time.Since(conn.idleSince) < conn.idleTimeout && idleAndOpen(conn.Conn) {
			return conn, true, nil
		}
		_ = conn.Close()
	}
	conn, err = c.dial(ctx, address)
	return conn, false, err
}

func (c *Client) pop(address string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return conn
}

func (c *Client) put(address string, conn *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= c.opts.MaxIdle {
		return false
	}
	conn.idleSince = time.Now()
	conn.idleTimeout = min(conn.idleTimeout, c.opts.IdleTimeout)
	c.idle[address] = append(c.idle[address], conn)
	return true
}

// idleAndOpen reports whether an idle connection is open and has nothing to read. If the peer has closed it, the outcome
// of the next request would be unknown. Bytes on it belong to a response that no caller waits for.
func idleAndOpen(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}
