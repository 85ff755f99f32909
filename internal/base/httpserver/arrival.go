package httpserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// SinceArrival returns how long ago the last bytes of the request arrived at this host, which may be long before they were read. It
// returns false if the system does not tell, or if further bytes have arrived since. Call it before the response is started.
func (x *Exchange) SinceArrival() (age time.Duration, known bool) {
	known = x.conn.onLoop(func(gc gnet.Conn) (ok bool) {
		if gc.InboundBuffered() > 0 {
			return false
		}
		age, ok = sinceLastData(gc.Fd())
		return ok
	})
	return age, known
}

// sinceLastData returns how long ago a socket's host received the last bytes, in units of the kernel's timer; false if the system does not
// tell. A system that knows the socket has a retransmission timeout for it.
func sinceLastData(fd int) (time.Duration, bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State == 0 || info.Rto == 0 {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}
