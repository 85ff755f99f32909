// Package httpclient sends fasthttp requests over connections that it pools itself.
//
// A peer, or a link to it, may send a response twice, late, cut off or without an end, and a connection does not say which of
// its requests a response answers. So a response is taken for the answer to the request that was written last only if
//
//   - it bears the id of that request, and the connection has not carried the same id before, or
//   - it bears no id although it should, the user of this package lets such a response through, and the connection has carried
//     no other request.
//
// A connection is used again only after a response that bore its id, was read to its end, was trusted by the user of this
// package and left no byte over. A request without an id has a connection of its own, unless Options.UnidentifiedFor is set.
// What is not the answer is skipped within bounds of bytes and time. fasthttp writes the requests and parses the headers of responses, once
// their raw bytes were found to be well-formed.
package httpclient

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// DialTimeout is the maximum time to establish a connection; default 500ms.
	DialTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address and instance; default 256.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept; default 30s. A shorter timeout in a response's Keep-Alive header
	// takes precedence.
	IdleTimeout time.Duration
	// SilentAfter is how long a peer may leave sent bytes or keep-alive probes unacknowledged before the connection fails.
	// 0 leaves this to the kernel, which waits for minutes.
	SilentAfter time.Duration
	// UnidentifiedFor is how long after it was established a connection may carry further requests without an id; 0 gives each of
	// them a connection of its own. The response to such a request may be a copy of an earlier one on the same connection.
	UnidentifiedFor time.Duration
}

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxIdle     = 256
	defaultIdleTimeout = 30 * time.Second
)

// DialError reports that no connection could be established, or that the peer closed it or sent something on it before the
// request was written, so nothing was sent.
type DialError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// UnusableConnectionError reports that a new connection was closed, or had bytes to read, before anything was sent on it.
type UnusableConnectionError struct{}

// Error implements error.
func (*UnusableConnectionError) Error() string {
	return "the new connection was closed or had bytes to read before the request"
}

// BrokenError reports that the response was not read after the client began to send the request, which may have arrived. Stage
// names the step that failed.
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
	pool *pool
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
	return &Client{opts: o, pool: newPool(o)}
}

// Do sends x.Request to address (IP:PORT) and reads the header of its response. The connection is closed when ctx is done,
// including while the body is read. Errors: *DialError, *BrokenError, the error of x.MayWrite.
func (c *Client) Do(ctx context.Context, address string, x Exchange) (*Response, error) {
	conn, err := c.connection(ctx, peer{address, x.Instance}, x.ID)
	if err != nil {
		return nil, err
	}
	if err := conn.mayCarry(&x); err != nil {
		_ = conn.Close()
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	conn.begin(x.ID)
	written := conn.send(x.Request)
	res, stage, err := conn.receive(&x, written)
	if err != nil {
		stop()
		_ = conn.Close()
		<-written.finished // from here on the caller may reuse the request
		return nil, &BrokenError{address, stage, errors.Join(err, ctx.Err())}
	}
	res.client, res.stop, res.written = c, stop, written
	return res, nil
}

// connection returns a connection on which a response to a request with the id can be told from all others.
func (c *Client) connection(ctx context.Context, to peer, id string) (*clientConn, error) {
	if conn := c.pool.take(to, id); conn != nil {
		return conn, nil
	}
	return c.dial(ctx, to)
}

// Probe checks that address accepts connections, without sending anything. Errors: *DialError.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, peer{address: address})
	if err != nil {
		return err
	}
	return conn.Close()
}

// ConfirmAlive checks that the peer at address has not ended since it was sent a request. Only a refused connection shows that it has: one
// that takes too long may be a busy host's. Errors: *NotAliveError, the error of ctx.
func (c *Client) ConfirmAlive(ctx context.Context, address string) error {
	err := c.Probe(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return &NotAliveError{address, err.Error()}
	}
	return ctx.Err()
}

// NotAliveError reports that a peer accepts no connections after a request. It does not wrap the *DialError, which would prove
// that nothing was sent.
type NotAliveError struct{ Address, Reason string }

// Error implements error.
func (e *NotAliveError) Error() string {
	return fmt.Sprintf("%s accepts no connections: %s", e.Address, e.Reason)
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }
