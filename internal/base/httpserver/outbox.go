package httpserver

import (
	"context"
	"sync"
)

// outbox collects what a request's goroutine writes until the event loop sends it. While a flush is on its way to the
// loop, further pieces join it: under load a burst of tokens costs one wake-up and one system call, not one each.
type outbox struct {
	mu sync.Mutex
	// buf waits for the loop; spare is a buffer that nobody uses, or nil.
	buf, spare []byte
	flushing   bool
}

// maxSpare is the largest buffer that a connection keeps for its next answer, in bytes.
const maxSpare = 64 << 10

// add copies the pieces and reports whether a flush must be asked for.
func (o *outbox) add(pieces ...[]byte) (first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range pieces {
		o.buf = append(o.buf, p...)
	}
	first = !o.flushing
	o.flushing = true
	return first
}

// take returns what waits. The buffer is the loop's until it is put back.
//
// The spare buffer is given up when it comes into use: kept as the spare one, it would be taken again after a burst, and one
// answer's bytes overwritten by another's.
func (o *outbox) take() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	buf := o.buf
	o.buf = o.spare[:0]
	o.spare = nil
	o.flushing = false
	return buf
}

// put gives back a buffer that take returned.
func (o *outbox) put(buf []byte) {
	if cap(buf) > maxSpare {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spare = buf
}

// write copies the pieces into the outbox. Errors: *ConnectionClosedError.
func (c *conn) write(pieces ...[]byte) error {
	if c.gone.Load() {
		return &ConnectionClosedError{"connection closed"}
	}
	if !c.out.add(pieces...) {
		return nil
	}
	if err := c.gc.EventLoop().Execute(context.Background(), c); err != nil {
		return &ConnectionClosedError{err.Error()}
	}
	return nil
}

// Run implements gnet.Runnable: it runs on the event loop and sends what the outbox holds.
func (c *conn) Run(context.Context) error {
	buf := c.out.take()
	if c.gone.Load() {
		return nil
	}
	// gnet copies what the socket does not take, so the buffer can be used again.
	_, err := c.gc.Write(buf)
	c.out.put(buf)
	if err != nil {
		return c.gc.Close()
	}
	c.noteUnread(c.gc.OutboundBuffered())
	return nil
}
