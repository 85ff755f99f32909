package httpclient

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is how many keep-alive probes in a row may go unanswered.
const probes = 3

func (c *Client) dial(ctx context.Context, address string) (*clientConn, error) {
	d := net.Dialer{Timeout: c.opts.DialTimeout}
	if every := c.opts.SilentAfter / (probes + 1); every > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: every, Interval: every, Count: probes}
		d.Control = userTimeout(c.opts.SilentAfter)
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{address, err}
	}
	return &clientConn{
		Conn:   conn,
		reader: bufio.NewReaderSize(conn, readBufferBytes),
		writer: bufio.NewWriterSize(conn, readBufferBytes),
		keep:   c.opts.IdleTimeout,
	}, nil
}

// userTimeout bounds how long sent bytes may stay unacknowledged. Keep-alive probes are not sent while there are such
// bytes, so that without it a request to a host that fell silent would hang until its deadline.
func userTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
