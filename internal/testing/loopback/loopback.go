// Package loopback allocates loopback addresses for the processes that tests and the fault soak start.
package loopback

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// firstHost is the first address above 127.0.0.0/16, since programs commonly use the first addresses of that range.
	firstHost = 127<<24 | 1<<16
	// hostCount is the number of loopback addresses to choose from. The kernel's process ids are below 1<<22, so each
	// process gets an address of its own.
	hostCount = 1<<24 - 1<<17
	// firstPort and lastPort bound the ports of one address: above those of common services and below the range that the
	// kernel uses for outgoing connections.
	firstPort = 22000
	lastPort  = 32000
)

var allocated atomic.Int64

// Address returns a HOST:PORT that no other process uses. The loopback address depends on the process id, and its ports
// are allocated in sequence.
//
// A port that was found free by listening and closing can be taken by an outgoing connection of another process before it
// is used; the process that it was meant for then fails with "address already in use". Outgoing connections to
// 127.0.0.0/8 leave from 127.0.0.1, so a separate loopback address per process prevents this.
//
// Ports on which a program listens at all addresses of the machine are skipped.
func Address() string {
	for {
		port := firstPort + (allocated.Add(1)-1)%(lastPort-firstPort)
		address := net.JoinHostPort(host(os.Getpid()), strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err == nil {
			_ = l.Close() // no connection was accepted
		}
		return address
	}
}

func host(pid int) string {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], firstHost+uint32(pid%hostCount))
	return netip.AddrFrom4(ip).String()
}

const (
	// retryInterval is the pause between two attempts to listen. A child process reaches its exec within about a millisecond.
	retryInterval = time.Millisecond
	// maxRetries bounds the wait for an address that another program does use.
	maxRetries = 2000
)

// Listen listens on an address that this process may have listened on before.
//
// A child process has copies of all sockets between fork and exec. If this process closes a socket in that time, the copy
// keeps the address in use, and listening on it again fails with "address already in use". An address from Address has no
// other users, so retrying until the child has reached its exec is enough.
func Listen(address string) (net.Listener, error) {
	for range maxRetries {
		l, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(retryInterval)
	}
	return net.Listen("tcp", address)
}
