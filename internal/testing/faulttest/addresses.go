package faulttest

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Every cluster has loopback addresses of its own, which also differ between test processes. The ports lie below those
// that the system gives to outgoing connections.
const (
	firstPort   = 20000
	ports       = 10000
	firstOctet  = 20
	octets      = 200
	hostsPerNet = 250
)

var clusters atomic.Int64

// addresses deals out the loopback addresses of one cluster.
type addresses struct {
	net  string
	port int
	next int
}

func newAddresses() *addresses {
	n := int(clusters.Add(1))
	pid := os.Getpid()
	return &addresses{
		net:  fmt.Sprintf("127.%d.%d", firstOctet+pid%octets, (pid/octets)%hostsPerNet),
		port: firstPort + n%ports,
	}
}

func (a *addresses) take() string {
	a.next++
	return fmt.Sprintf("%s.%d:%d", a.net, a.next, a.port)
}
