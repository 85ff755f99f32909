package httpserver

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// maxPipelined is how many bytes a caller may send ahead while a request is running; beyond it the connection ends with its answer.
const maxPipelined = 64 << 10

// conn is one connection. Its event loop owns all fields except the atomic ones, out, and cancel, which mu guards.
type conn struct {
	srv      *Server
	gc       gnet.Conn
	minBytes int
	// continueSent is set once "100 Continue" was sent for the request that is being read.
	continueSent bool
	// running is set while a request runs on its goroutine.
	running atomic.Bool
	// ending is set once no further request is read from the connection, surplus if the caller sends more than was read as requests.
	ending  atomic.Bool
	surplus bool
	// unacknowledged is how many written bytes the caller's host had not acknowledged when the event loop last checked. The number last
	// changed at progressedAt, and the connection was half closed at halfClosedAt; both by monotonic.Nanos, 0 if not.
	unacknowledged             int
	progressedAt, halfClosedAt int64
	// sentAhead is set if the caller has sent so much ahead that the connection must be closed after the running request.
	sentAhead atomic.Bool
	// partialSince is when the first bytes of an incomplete request arrived, by monotonic.Nanos; 0 if there is none.
	partialSince atomic.Int64
	idleSince    atomic.Int64
	// unread is how many written bytes were not yet accepted by the socket when the event loop last checked. unreadSince is when they began
	// to wait or the caller's host last acknowledged some, by monotonic.Nanos; 0 if there are none.
	unread      atomic.Int64
	unreadSince atomic.Int64
	// passed is how many bytes the event loop has written, acknowledged how many of them the caller's host had acknowledged when it last
	// checked.
	passed, acknowledged int64
	disconnected         atomic.Bool
	// closeCause is what makes this server close the connection; empty for an idle or refused one.
	closeCause atomic.Pointer[Closer]
	answer     answer
	out        outbox
	mu         sync.Mutex
	cancel     context.CancelCauseFunc
}

// onTraffic runs on the event loop whenever bytes arrive and after each wake-up.
func (c *conn) onTraffic() gnet.Action {
	c.recordUnread(c.gc.OutboundBuffered())
	if timedOut(monotonic.Nanos(), c.unreadSince.Load(), c.srv.limits.Load().WriteTimeout.Std()) {
		return c.closeFor(ClosedByTimeout)
	}
	c.answer.progress(c.unsent(), c.cause())
	if c.ending.Load() {
		return c.continueEnd()
	}
	if c.running.Load() {
		return c.boundSentAhead()
	}
	if c.sentAhead.Load() { // also set just after the answer: what follows is not the start of a request
		c.surplus = true
		c.end(ClosedByServer)
		return c.continueEnd()
	}
	buffered := c.gc.InboundBuffered()
	if buffered == 0 {
		return c.closeIfIdle()
	}
	if buffered < c.minBytes {
		return c.refuseIfExpired()
	}
	buf, err := c.gc.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	p, err := parseRequest(buf, *c.srv.limits.Load())
	if err != nil {
		c.srv.refuse(c, err)
		return gnet.None
	}
	if p.req == nil {
		return c.awaitRest(p)
	}
	return c.startRequest(p)
}

// boundSentAhead discards what the caller sends during a request once it is too much to keep. The request's answer is not affected.
func (c *conn) boundSentAhead() gnet.Action {
	if c.gc.InboundBuffered() <= maxPipelined && !c.sentAhead.Load() {
		return gnet.None
	}
	c.sentAhead.Store(true)
	if _, err := c.gc.Discard(-1); err != nil {
		return gnet.Close
	}
	return gnet.None
}

// closeIfIdle closes a connection that has been idle for too long or whose server is closing. Like startRequest it runs on the event
// loop. From another goroutine it could close the connection of a request that has just started, which its caller would take for
// not read.
func (c *conn) closeIfIdle() gnet.Action {
	now := monotonic.Nanos()
	if c.partialSince.Load() != 0 || !c.idleIsOver(now) {
		return gnet.None
	}
	if acknowledged, action := c.awaitAcknowledged(now); !acknowledged {
		return action
	}
	return gnet.Close
}

func (c *conn) idleIsOver(now int64) bool {
	return timedOut(now, c.idleSince.Load(), c.srv.limits.Load().IdleTimeout.Std()) || c.srv.closing.Load()
}

// awaitRest records that a request has partly arrived, and sends "100 Continue" if the caller expects it.
func (c *conn) awaitRest(p parseResult) gnet.Action {
	c.minBytes = p.minBytes
	c.partialSince.CompareAndSwap(0, monotonic.Nanos())
	if p.wantsContinue && !c.continueSent {
		c.continueSent = true
		if _, err := c.gc.Write(continueResponse); err != nil {
			return gnet.Close
		}
		c.passed += int64(len(continueResponse))
	}
	return c.refuseIfExpired()
}

// readTimeout returns how long a request may take to arrive.
func (c *conn) readTimeout() time.Duration {
	limit := c.srv.limits.Load().ReadTimeout.Std()
	switch {
	case c.srv.cancelling.Load():
		return 0
	case c.srv.closing.Load():
		return min(limit, drainReadTimeout)
	}
	return limit
}

// refuseIfExpired refuses a request that is still incomplete after the read timeout. Like startRequest it runs on the
// event loop. On the goroutine that enforces the timeouts, the refusal, which promises "not run", could race with the
// arrival of the last bytes.
func (c *conn) refuseIfExpired() gnet.Action {
	if timedOut(monotonic.Nanos(), c.partialSince.Load(), c.readTimeout()) {
		c.srv.refuse(c, c.srv.incompleteError())
	}
	return gnet.None
}

// startRequest starts the goroutine of a complete request.
func (c *conn) startRequest(p parseResult) gnet.Action {
	if _, err := c.gc.Discard(p.consumed); err != nil {
		return gnet.Close
	}
	c.minBytes = 0
	c.continueSent = false
	c.partialSince.Store(0)
	ctx, cancel := context.WithCancelCause(context.Background())
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	c.running.Store(true)
	c.answer.begin(c.unsent())
	c.srv.busy.Add(1)
	if c.srv.cancelling.Load() {
		c.cancelRequest(&StoppingError{})
	}
	go c.srv.run(ctx, c, p.req)
	return gnet.None
}

// requestDone runs on the request's goroutine after the response was written.
func (c *conn) requestDone(x *Exchange) {
	c.cancelRequest(nil)
	if x.streaming && x.untilClose {
		c.reset(x)
		return
	}
	// A caller that was not told that the connection closes may have sent its next request, which must get an answer.
	if x.close || c.sentAhead.Load() {
		c.end(x.closer())
	}
	c.answer.done(!x.streaming, x.onEnd)
	c.idleSince.Store(monotonic.Nanos())
	c.running.Store(false)
	// Bytes of the next request may have arrived in the meantime; without a wake-up the event loop would not parse them.
	_ = c.gc.Wake(nil)
}

// onClosed runs on the event loop when the connection was closed, with the error that closed it, and cancels the running request.
func (c *conn) onClosed(err error) {
	unsent := c.unsent()
	if err == io.EOF { // gnet has dropped its buffer of a broken connection
		unsent = max(unsent, int64(c.out.size())+c.unread.Load())
	}
	c.recordUnread(0)
	c.disconnected.Store(true)
	c.fetched(c.out.take())
	c.cancelRequest(nil)
	by := c.closedBy(err)
	if err != nil && unsent > 0 {
		by = ClosedByCaller // before this server did, as it was about to
	}
	c.answer.close(by, unsent)
}

// closeFor closes the connection from the event loop.
func (c *conn) closeFor(by Closer) gnet.Action {
	c.closeCause.CompareAndSwap(nil, &by)
	return gnet.Close
}

// cause returns what makes this server close the connection; ClosedByNone if nothing does.
func (c *conn) cause() Closer {
	if by := c.closeCause.Load(); by != nil {
		return *by
	}
	return ClosedByNone
}

// closedBy returns what closed the connection, with the error of the event loop; nil if this server did.
func (c *conn) closedBy(err error) Closer {
	cause := c.cause()
	switch {
	case cause != ClosedByNone:
		return cause
	case err != nil:
		return ClosedByCaller
	case c.srv.stopping.Load():
		return ClosedByStop
	}
	return ClosedByServer
}

// unsent returns how many bytes the socket has not accepted yet. It runs on the event loop.
func (c *conn) unsent() int64 { return int64(c.out.size() + c.gc.OutboundBuffered()) }

// reset closes the connection of a body that would end where the connection does, and that the handler has given up.
func (c *conn) reset(x *Exchange) {
	by := x.closer()
	c.closeCause.CompareAndSwap(nil, &by)
	c.answer.done(false, x.onEnd)
	_ = c.gc.Close()
}

// closesAfterAnswer reports whether an answer that begins now is the last one of its connection, whatever the handler says.
func (c *conn) closesAfterAnswer() bool { return c.srv.closing.Load() || c.sentAhead.Load() }

// cancelRequest cancels the context of the running request, with a cause or nil, and reports whether there was one.
func (c *conn) cancelRequest(cause error) bool {
	c.mu.Lock()
	cancel := c.cancel
	c.cancel = nil
	c.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
	return cancel != nil
}

// recordUnread stores the number of unread bytes. It runs on the event loop. The write timeout restarts whenever the caller's host has
// acknowledged some: their number may grow all the same, and a full socket accepts more only once a large part of it is free.
func (c *conn) recordUnread(n int) {
	previous := c.unread.Swap(int64(n))
	c.srv.unread.Add(int64(n) - previous)
	if n == 0 {
		c.unreadSince.Store(0)
		return
	}
	acknowledged := c.passed - int64(n) - int64(unacknowledgedBytes(c.gc.Fd()))
	if previous == 0 || acknowledged > c.acknowledged {
		c.unreadSince.Store(monotonic.Nanos())
	}
	c.acknowledged = acknowledged
}

// enforceTimeouts closes the connection if a timeout has passed. What depends on bytes that the event loop may just have read or written
// is left to the event loop: a partly received request, an idle connection, a response that is not read.
func (c *conn) enforceTimeouts(now int64) {
	l := c.srv.limits.Load()
	switch {
	case c.ending.Load(), c.unread.Load() > 0:
		_ = c.gc.Wake(nil)
	case timedOut(now, c.partialSince.Load(), l.ReadTimeout.Std()):
		_ = c.gc.Wake(nil)
	case c.running.Load():
	case c.idleIsOver(now):
		_ = c.gc.Wake(nil)
	}
}

func timedOut(now, since int64, limit time.Duration) bool {
	return since != 0 && now-since > int64(limit)
}
