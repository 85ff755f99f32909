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

// continueEnd runs on the event loop and takes the next step towards the end of the connection: the socket accepts all bytes, the sending
// half is closed, the caller's host acknowledges everything, and the connection is closed.
//
// A connection that is closed with bytes unsent loses them. One that is closed with bytes unread, such as the rest of a refused body, is
// reset, and the caller may lose what it has not read yet; what it still sends is discarded for a while.
func (c *conn) continueEnd() gnet.Action {
	if c.gc.InboundBuffered() > 0 {
		c.surplus = true
		if _, err := c.gc.Discard(-1); err != nil {
			return gnet.Close
		}
	}
	now := monotonic.Nanos()
	if c.unsent() == 0 && c.halfClosedAt == 0 {
		c.halfClosedAt = now
		if unix.Shutdown(c.gc.Fd(), unix.SHUT_WR) != nil {
			return gnet.Close
		}
	}
	acknowledged, action := c.awaitAcknowledged(now)
	if !acknowledged || c.surplus && !timedOut(now, max(c.halfClosedAt, c.progressedAt), closeLinger) {
		return action
	}
	return gnet.Close
}

// awaitAcknowledged reports whether the caller's host has acknowledged all that was written. If it has not, action closes the connection
// after the write timeout without progress.
func (c *conn) awaitAcknowledged(now int64) (acknowledged bool, action gnet.Action) {
	if c.unsent() > 0 {
		return false, gnet.None
	}
	n := unacknowledgedBytes(c.gc.Fd())
	if n != c.unacknowledged {
		c.unacknowledged, c.progressedAt = n, now
	}
	if n > 0 && timedOut(now, c.progressedAt, c.srv.limits.Load().WriteTimeout.Std()) {
		return false, c.closeFor(ClosedByTimeout)
	}
	return n == 0, gnet.None
}

// unacknowledgedBytes returns how many bytes of the socket the caller's host has not acknowledged; 0 if the system does not tell.
func unacknowledgedBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
