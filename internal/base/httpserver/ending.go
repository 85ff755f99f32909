package httpserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// closeLinger is how long a connection stays open, after its last answer has left, for a caller that does not close it. It is long
// enough for a caller on the same continent to read the answer.
const closeLinger = 500 * time.Millisecond

// end makes the connection close after what was written. No further request is read from it. The event loop does it in steps.
func (c *conn) end(by Closer) {
	c.closeCause.CompareAndSwap(nil, &by)
	c.ending.Store(true)
}

// continueEnd runs on the event loop and takes the next step towards the end of the connection: the socket accepts all bytes, the sending
// half is closed, and the caller closes the connection, or closeLinger passes.
//
// A connection that is closed with bytes unsent loses them. One that is closed with bytes unread, such as the rest of a refused body, is
// reset, and the caller may lose what it has not read yet.
func (c *conn) continueEnd() gnet.Action {
	if _, err := c.gc.Discard(-1); err != nil {
		return gnet.Close
	}
	if c.unsent() > 0 {
		return gnet.None
	}
	now := monotonic.Nanos()
	unacknowledged := unacknowledgedBytes(c.gc.Fd())
	switch {
	case c.halfClosedAt == 0:
		if err := unix.Shutdown(c.gc.Fd(), unix.SHUT_WR); err != nil {
			return gnet.Close
		}
		c.halfClosedAt = now
	case unacknowledged > 0 && unacknowledged < c.unacknowledged:
		c.halfClosedAt = now // the caller is still reading
	case unacknowledged > 0 && !timedOut(now, c.halfClosedAt, c.srv.limits.Load().WriteTimeout.Std()):
	case timedOut(now, c.halfClosedAt, closeLinger):
		return gnet.Close
	}
	c.unacknowledged = unacknowledged
	return gnet.None
}

// unacknowledgedBytes returns how many bytes of the socket the caller's host has not acknowledged; 0 if the system does not tell.
func unacknowledgedBytes(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}
