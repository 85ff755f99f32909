package httpclient

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is how many consecutive keep-alive probes may remain unacknowledged.
const keepAliveProbes = 3

func (c *Client) dial(ctx context.Context, to peer) (*clientConn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout}
	if interval := c.opts.SilentAfter / (keepAliveProbes + 1); interval > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
		d.Control = userTimeout(c.opts.SilentAfter)
	}
	conn, err := d.DialContext(ctx, "tcp", to.address)
	if err != nil {
		return nil, &DialError{to.address, err}
	}
	return newConn(conn, to, c.opts.IdleTimeout), nil
}

// userTimeout returns a dialer control function that limits how long sent bytes may remain unacknowledged. The kernel sends
// no keep-alive probes while there are such bytes, so without the limit a request to a host that became unresponsive
// would hang until its deadline.
func userTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	}
}
