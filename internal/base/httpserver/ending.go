package httpserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// closeLinger is how long a connection on which the caller has sent more than was read as requests stays open after its last answer. It is
// long enough for a caller on the same continent to read the answer.
const closeLinger = 500 * time.Millisecond

// end makes the connection close after what was written. No further request is read from it. The event loop does it in steps.
func (c *conn) end(by Closer) {
	c.closeCause.CompareAndSwap(nil, &by)
	c.ending.Store(true)
}

// continueEnd runs on the event loop and takes the next step towards the end of the connection: the socket accepts all bytes, the caller's
// host acknowledges them, and the connection is closed.
//
// A connection that is closed with bytes unsent loses them. One that is closed with bytes unread, such as the rest of a refused body, is
// reset, and the caller may lose what it has not read yet; its sending half is closed first, and what still comes is discarded.
func (c *conn) continueEnd() gnet.Action {
	if c.gc.InboundBuffered() > 0 {
		c.surplus = true
		if _, err := c.gc.Discard(-1); err != nil {
			return gnet.Close
		}
	}
	now := monotonic.Nanos()
	switch acknowledged, action := c.awaitAcknowledged(now); {
	case !acknowledged:
		return action
	case !c.surplus:
		return gnet.Close
	case c.halfClosedAt == 0:
		c.halfClosedAt = now
		if unix.Shutdown(c.gc.Fd(), unix.SHUT_WR) != nil {
			return gnet.Close
		}
	case timedOut(now, c.halfClosedAt, closeLinger):
		return gnet.Close
	}
	return gnet.None
}

// awaitAcknowledged reports whether the caller's host has acknowledged all that was written. If it has not, action closes the connection
// after the write timeout without progress.
func (c *conn) awaitAcknowledged(now int64) (acknowledged bool, action gnet.Action) {
	if c.unsent() > 0 {
		return false, gnet.None
	}
	n := unacknowledgedBytes(c.gc.Fd())
	switch {
	case n == 0:
		c.unacknowledged = 0
		return true, gnet.None
	case n != c.unacknowledged:
		c.unacknowledged, c.unacknowledgedSince = n, now
	case timedOut(now, c.unacknowledgedSince, c.srv.limits.Load().WriteTimeout.Std()):
		return false, c.closeFor(ClosedByTimeout)
	}
	return false, gnet.None
}

// unacknowledgedBytes returns how many bytes of the socket the caller's host has not acknowledged; 0 if the system does not tell.
func unacknowledgedBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
