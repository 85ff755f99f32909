// Package loopback hands out addresses on this host for processes that are started by tests and by the fault soak.
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
	// firstHost lies above 127.0.0.0/16, whose first addresses are what programs commonly use.
	firstHost = 127<<24 | 1<<16
	// hosts is how many loopback addresses are left to choose from; the kernel's process ids are below 1<<22.
	hosts = 1<<24 - 1<<17
	// firstPort and lastPort bound the ports of one host: above those of common services, below those that the kernel
	// gives to outgoing connections.
	firstPort = 22000
	lastPort  = 32000
)

var used atomic.Int64

// Address returns an address, host and port, that nobody else uses: the loopback host is this process's own, and its
// ports are handed out in turn.
//
// A port found free by listening and closing can be lost before its use to an outgoing connection of another process;
// the process that was to have it then ends with "address already in use". Outgoing connections to 127.0.0.0/8 leave from
// 127.0.0.1, so a host of one's own is enough.
//
// Ports on which a program listens at all addresses of this host are passed over.
func Address() string {
	for {
		port := firstPort + (used.Add(1)-1)%(lastPort-firstPort)
		address := net.JoinHostPort(host(os.Getpid()), strconv.FormatInt(port, 10))
		l, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err == nil {
			_ = l.Close() // nothing was accepted
		}
		return address
	}
}

func host(pid int) string {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], firstHost+uint32(pid%hosts))
	return netip.AddrFrom4(ip).String()
}

const (
	// retryEach is the pause between two tries; a child reaches its exec within a millisecond or so.
	retryEach = time.Millisecond
	// retries bounds the wait for an address that something else really uses.
	retries = 2000
)

// Listen listens at an address that this process may have listened on before.
//
// A child that is being started has copies of all sockets until its exec; one that is closed meanwhile keeps its address
// taken for that long, and opening it again fails with "address already in use". An address from Address has no other
// users, so trying again until the child is past its exec is enough.
func Listen(address string) (net.Listener, error) {
	for range retries {
		l, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(retryEach)
	}
	return net.Listen("tcp", address)
}
