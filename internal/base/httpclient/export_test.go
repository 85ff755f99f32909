package httpclient

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// SweptIdle closes the connections that are idle for too long at the given time, and returns how many are left.
func SweptIdle(c *Client, now time.Time) int {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.sweep(now)
	n := 0
	for _, list := range c.pool.idle {
		n += len(list)
	}
	return n
}

// bytesConn is a connection from which bytes are read until it ends, step at a time.
type bytesConn struct {
	net.Conn
	bytes.Reader
	step int
}

// Read implements net.Conn.
func (c *bytesConn) Read(p []byte) (int, error) { return c.Reader.Read(p[:min(len(p), c.step)]) }

// Close implements net.Conn.
func (*bytesConn) Close() error { return nil }

// SetReadDeadline implements net.Conn.
func (*bytesConn) SetReadDeadline(time.Time) error { return nil }

// ReadAnswer reads the answer to the exchange from a connection that ends after the bytes and has carried requests with the other ids.
// It returns the header and the body.
func ReadAnswer(b []byte, x Exchange, carried ...string) (*fasthttp.ResponseHeader, []byte, error) {
	return ReadAnswerInSteps(b, len(b), x, carried...)
}

// ReadAnswerInSteps is ReadAnswer from a connection on which step bytes arrive at a time.
func ReadAnswerInSteps(b []byte, step int, x Exchange, carried ...string) (*fasthttp.ResponseHeader, []byte, error) {
	in := &bytesConn{step: step}
	in.Reset(b)
	conn := newConn(in, peer{}, time.Second)
	for _, id := range append(carried, x.ID) {
		conn.begin(id)
	}
	written := &writeResult{finished: make(chan struct{})}
	close(written.finished)
	res, _, err := conn.receive(&x, written)
	if err != nil {
		return nil, nil, err
	}
	res.written = written
	body, err := io.ReadAll(res.Body)
	return res.Header, body, err
}
