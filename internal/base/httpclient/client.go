// Package httpclient sends requests of fasthttp's type over connections that it owns.
//
// A ready-made client hides which connection an answer came on and when that connection goes back into its pool. Here
// both decide whether a caller can get another caller's answer, so the pool is kept small and strict: a connection is
// reused only after its answer was read to the end, was matched by the caller of this package and left no byte over.
// Requests and answers themselves are written and parsed by fasthttp.
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

// Options of a Client. Zero values mean the defaults.
type Options struct {
	// DialTimeout bounds the making of a connection; default 500ms.
	DialTimeout time.Duration
	// MaxIdle is how many idle connections are kept for one address; default 256.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; default 30s. A shorter time in an answer's Keep-Alive goes first.
	IdleTimeout time.Duration
	// SilentAfter ends a connection whose peer has acknowledged nothing for so long, though bytes or probes were sent;
	// 0 leaves that to the kernel, which waits for minutes.
	SilentAfter time.Duration
}

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxIdle     = 256
	defaultIdleTimeout = 30 * time.Second
	readBufferBytes    = 8 << 10
)

// DialError says that no connection could be made, so that nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// BrokenError says that the connection failed after bytes were sent: the request may have arrived.
type BrokenError struct {
	Address string
	Stage   string
	Cause   error
}

// Error implements error.
func (e *BrokenError) Error() string { return fmt.Sprintf("%s %s: %v", e.Stage, e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Client is a pool of connections. It is safe for concurrent use.
type Client struct {
	opts Options
	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	since  time.Time
	// keep is for how long the peer keeps the connection when it is idle, as far as it said so.
	keep time.Duration
}

// New returns a client without connections.
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

// Response is an answer whose header is read and whose body is still to come. Release must be called once.
type Response struct {
	// Status is the HTTP status.
	Status int
	Header *fasthttp.ResponseHeader
	// Reused says that the connection had carried other requests before.
	Reused bool
	// Body ends with io.EOF after the whole body, and with another error if the answer was cut off.
	Body    io.Reader
	raw     *fasthttp.Response
	client  *Client
	conn    *clientConn
	address string
	stop    func() bool
	whole   bool
	// written gets the outcome of sending the request.
	written *sending
}

// Match tells whether an answer belongs to the request. One that does not is read to its end and dropped.
type Match func(*fasthttp.ResponseHeader) bool

// Do sends req to address (IP:PORT) and reads the answer's header. When ctx ends the connection is closed, also while
// the body is read. Errors: *DialError, *BrokenError.
func (c *Client) Do(ctx context.Context, address string, req *fasthttp.Request) (*Response, error) {
	return c.DoMatching(ctx, address, req, nil)
}

// DoMatching is Do for peers that may send an answer twice or late: answers that do not match are dropped.
//
// A second copy of an earlier answer may arrive where this request's answer is due. A peer serves one request at a time on a
// connection, so that what is foreign comes before what is due and can be dropped.
func (c *Client) DoMatching(ctx context.Context, address string, req *fasthttp.Request, match Match) (*Response, error) {
	conn, reused, err := c.get(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	written := conn.send(req)
	raw, stage, err := conn.receive(match, req.Header.IsHead(), written)
	if err != nil {
		stop()
		_ = conn.Close()
		<-written.ended // the request belongs to the caller again
		return nil, &BrokenError{address, stage, errors.Join(err, ctx.Err())}
	}
	res := &Response{Status: raw.StatusCode(), Header: &raw.Header, Reused: reused, raw: raw, client: c, conn: conn, address: address, stop: stop, written: written}
	res.Body = &bodyReader{res}
	return res, nil
}

// bodyReader notes when the body was read to its end.
type bodyReader struct{ response *Response }

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	stream := r.response.raw.BodyStream()
	if stream == nil {
		r.response.whole = true
		return 0, io.EOF
	}
	n, err := stream.Read(p)
	if err == io.EOF {
		r.response.whole = true
	}
	return n, err
}

// Release ends the use of the answer. With trusted set the connection may be reused, if the body was read to its end
// and nothing follows it; otherwise it is closed.
//
// Without this rule a late or doubled answer that is still on the connection would be read as the answer to the next
// request. Closing is enough: bytes of one connection never reach another.
func (res *Response) Release(trusted bool) {
	live := res.stop()
	reusable := trusted && live && res.whole && res.written.done() && !res.Header.ConnectionClose() && res.conn.reader.Buffered() == 0
	if !reusable {
		_ = res.conn.Close()
		<-res.written.ended // the request belongs to the caller again
	}
	_ = res.raw.CloseBodyStream()
	fasthttp.ReleaseResponse(res.raw)
	if reusable && !res.client.put(res.address, res.conn) {
		_ = res.conn.Close()
	}
}

// Probe reports whether address takes connections; it sends nothing. Errors: *DialError.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
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
		if time.Since(conn.since) < conn.keep && silent(conn.Conn) {
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
	conn.since = time.Now()
	conn.keep = min(conn.keep, c.opts.IdleTimeout)
	c.idle[address] = append(c.idle[address], conn)
	return true
}

// silent reports whether an idle connection is open and has nothing to read. A peer that closed it would make the
// next request's fate unknown; bytes on it belong to an answer that nobody waits for.
func silent(conn net.Conn) bool {
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
