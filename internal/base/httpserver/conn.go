package httpserver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// maxPipelined is how many bytes a caller may send ahead while a request runs.
const maxPipelined = 64 << 10

// conn is one connection. Its fields are used by its event loop, unless they are atomic.
type conn struct {
	srv  *Server
	gc   gnet.Conn
	need int
	// told says that "100 Continue" was sent for the request that is being read.
	told bool
	// running is set while a request runs on its goroutine.
	running atomic.Bool
	// partialSince is when the first byte of an unfinished request came, by monotonic.Nanos; 0 if there is none.
	partialSince atomic.Int64
	idleSince    atomic.Int64
	// unread is how many written bytes the caller had not taken when the loop last looked.
	unread      atomic.Int64
	unreadSince atomic.Int64
	// refusedAt is when bytes of this connection were refused, by monotonic.Nanos; 0 if they were not.
	refusedAt atomic.Int64
	gone      atomic.Bool
	out       outbox
	mu        sync.Mutex
	cancel    context.CancelFunc
}

// traffic runs on the event loop for each arrival of bytes and each wake-up.
func (c *conn) traffic() gnet.Action {
	c.noteUnread(c.gc.OutboundBuffered())
	if c.refusedAt.Load() != 0 {
		if _, err := c.gc.Discard(-1); err != nil {
			return gnet.Close
		}
		return gnet.None
	}
	if c.running.Load() {
		if c.gc.InboundBuffered() > maxPipelined {
			return gnet.Close
		}
		return gnet.None
	}
	buffered := c.gc.InboundBuffered()
	if buffered == 0 {
		return gnet.None
	}
	if buffered < c.need {
		return c.expire()
	}
	buf, err := c.gc.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	p, err := cut(buf, *c.srv.limits.Load())
	if err != nil {
		c.srv.refuse(c, err)
		return gnet.None
	}
	if p.req == nil {
		return c.wait(p)
	}
	return c.begin(p)
}

// wait notes that a request has begun to arrive.
func (c *conn) wait(p parsed) gnet.Action {
	c.need = p.need
	c.partialSince.CompareAndSwap(0, monotonic.Nanos())
	if p.interim && !c.told {
		c.told = true
		if _, err := c.gc.Write(interimRes); err != nil {
			return gnet.Close
		}
	}
	return c.expire()
}

// expire answers a request that is past the read timeout and still not whole. It runs on the event loop, like begin:
// from the sweeper's goroutine the refusal, which promises "not run", could race with the last bytes' arrival.
func (c *conn) expire() gnet.Action {
	if !past(monotonic.Nanos(), c.partialSince.Load(), c.srv.limits.Load().ReadTimeout.Std()) {
		return gnet.None
	}
	e := failure.New(failure.CodeMalformed, nil)
	e.Field = "request not complete within the read timeout"
	c.srv.refuse(c, e)
	return gnet.None
}

// begin hands a whole request to its goroutine.
func (c *conn) begin(p parsed) gnet.Action {
	if _, err := c.gc.Discard(p.used); err != nil {
		return gnet.Close
	}
	c.need = 0
	c.told = false
	c.partialSince.Store(0)
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.running.Store(true)
	c.srv.busy.Add(1)
	go c.srv.run(ctx, c, p.req)
	return gnet.None
}

// finished runs on the request's goroutine after its answer was written.
func (c *conn) finished(closeNow bool) {
	c.end()
	if closeNow {
		_ = c.gc.Close()
		return
	}
	c.idleSince.Store(monotonic.Nanos())
	c.running.Store(false)
	// Bytes of the next request may have come meanwhile; without a wake-up the loop would not look at them again.
	_ = c.gc.Wake(nil)
}

// closed runs on the event loop when the connection is gone: the running request is cancelled.
func (c *conn) closed() {
	c.gone.Store(true)
	c.end()
}

func (c *conn) end() {
	c.mu.Lock()
	cancel := c.cancel
	c.cancel = nil
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// noteUnread runs on the event loop.
func (c *conn) noteUnread(n int) {
	before := c.unread.Swap(int64(n))
	switch {
	case n == 0:
		c.unreadSince.Store(0)
	case before == 0 || int64(n) < before:
		c.unreadSince.Store(monotonic.Nanos())
	}
}

// sweep ends the connection if it is past a timeout; the event loop answers a half-sent request first.
func (c *conn) sweep(now int64) {
	l := c.srv.limits.Load()
	switch {
	case past(now, c.refusedAt.Load(), lingerFor):
		_ = c.gc.Close()
	case past(now, c.unreadSince.Load(), l.WriteTimeout.Std()):
		_ = c.gc.Close()
	case past(now, c.partialSince.Load(), l.ReadTimeout.Std()):
		_ = c.gc.Wake(nil)
	case c.running.Load():
		if c.unread.Load() > 0 {
			_ = c.gc.Wake(nil)
		}
	case past(now, c.idleSince.Load(), l.IdleTimeout.Std()) || c.srv.closing.Load():
		if c.partialSince.Load() == 0 {
			_ = c.gc.Close()
		}
	}
}

func past(now, since int64, limit time.Duration) bool {
	return since != 0 && now-since > int64(limit)
}
