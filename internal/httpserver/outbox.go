package httpserver

import (
	"context"
	"sync"
)

// outbox collects what a request's goroutine writes until the event loop sends it. While a flush is on its way to the
// loop, further pieces join it: under load a burst of tokens costs one wake-up and one system call, not one each.
type outbox struct {
	mu sync.Mutex
	// buf waits for the loop; spare is the buffer that the loop used last.
	buf, spare []byte
	flushing   bool
}

// maxSpare is the largest buffer that a connection keeps for its next answer, in bytes.
const maxSpare = 64 << 10

// write copies the pieces into the outbox. Errors: *GoneError.
func (c *conn) write(pieces ...[]byte) error {
	if c.gone.Load() {
		return &GoneError{"connection closed"}
	}
	c.out.mu.Lock()
	for _, p := range pieces {
		c.out.buf = append(c.out.buf, p...)
	}
	first := !c.out.flushing
	c.out.flushing = true
	c.out.mu.Unlock()
	if !first {
		return nil
	}
	if err := c.gc.EventLoop().Execute(context.Background(), c); err != nil {
		return &GoneError{err.Error()}
	}
	return nil
}

// Run implements gnet.Runnable: it runs on the event loop and sends what the outbox holds.
func (c *conn) Run(context.Context) error {
	c.out.mu.Lock()
	buf := c.out.buf
	c.out.buf = c.out.spare[:0]
	c.out.flushing = false
	c.out.mu.Unlock()
	if c.gone.Load() {
		return nil
	}
	// gnet copies what the socket does not take, so the buffer can be used again.
	_, err := c.gc.Write(buf)
	if cap(buf) <= maxSpare {
		c.out.spare = buf
	}
	if err != nil {
		return c.gc.Close()
	}
	c.noteUnread(c.gc.OutboundBuffered())
	return nil
}
