package httpserver

import (
	"context"
	"sync"

	"github.com/panjf2000/gnet/v2"
)

// outbox buffers what a request's goroutine writes until the event loop sends it. Pieces that are added while a flush
// is pending join that flush, so that under load a burst of tokens costs one wake-up and one system call in total.
type outbox struct {
	mu sync.Mutex
	// buf holds the bytes that the event loop has not fetched yet; spare is an unused buffer, or nil.
	buf, spare []byte
	flushing   bool
}

// maxSpare is the capacity of the largest buffer that a connection keeps for reuse, in bytes.
const maxSpare = 64 << 10

// add copies the pieces and reports whether the caller must schedule a flush.
func (o *outbox) add(pieces ...[]byte) (needsFlush bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range pieces {
		o.buf = append(o.buf, p...)
	}
	needsFlush = !o.flushing
	o.flushing = true
	return needsFlush
}

// take returns the buffered bytes. The event loop owns the buffer until it calls recycle.
//
// spare is set to nil when it becomes buf. Otherwise the same buffer would be handed out again after a burst, and the
// bytes of one response would be overwritten by those of another.
func (o *outbox) take() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	buf := o.buf
	o.buf = o.spare[:0]
	o.spare = nil
	o.flushing = false
	return buf
}

// size returns how many bytes the event loop has not fetched yet.
func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.buf)
}

// recycle keeps a buffer that take returned for reuse, unless it is larger than maxSpare.
func (o *outbox) recycle(buf []byte) {
	if cap(buf) > maxSpare {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.spare = buf
}

// write copies the pieces into the outbox. Errors: *ConnectionClosedError.
func (c *conn) write(pieces ...[]byte) error {
	if c.disconnected.Load() {
		return &ConnectionClosedError{"connection closed"}
	}
	for _, p := range pieces {
		c.answer.wrote(len(p))
	}
	if !c.out.add(pieces...) {
		return nil
	}
	if err := c.gc.EventLoop().Execute(context.Background(), c); err != nil {
		return &ConnectionClosedError{err.Error()}
	}
	return nil
}

// Run implements gnet.Runnable. It runs on the event loop and sends the contents of the outbox.
func (c *conn) Run(context.Context) error {
	buf := c.out.take()
	if c.disconnected.Load() {
		return nil
	}
	// gnet copies the bytes that the socket does not accept, so the buffer can be reused.
	_, err := c.gc.Write(buf)
	c.out.recycle(buf)
	if err != nil {
		return c.gc.Close()
	}
	c.recordUnread(c.gc.OutboundBuffered())
	c.answer.progress(c.unsent(), c.cause())
	if c.ending.Load() && c.continueEnd() == gnet.Close {
		return c.gc.Close()
	}
	return nil
}
