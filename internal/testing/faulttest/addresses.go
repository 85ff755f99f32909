package faulttest

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Each cluster has its own port, on loopback addresses that differ between test processes. The ports are below the range
// that the system uses for outgoing connections.
const (
	firstPort      = 20000
	portCount      = 10000
	minSecondOctet = 20
	secondOctets   = 200
	thirdOctets    = 250
)

var clusterCount atomic.Int64

// addresses allocates the loopback addresses of one cluster.
type addresses struct {
	prefix    string
	port      int
	allocated int
}

func newAddresses() *addresses {
	n := int(clusterCount.Add(1))
	pid := os.Getpid()
	return &addresses{
		prefix: fmt.Sprintf("127.%d.%d", minSecondOctet+pid%secondOctets, (pid/secondOctets)%thirdOctets),
		port:   firstPort + n%portCount,
	}
}

func (a *addresses) allocate() string {
	a.allocated++
	return fmt.Sprintf("%s.%d:%d", a.prefix, a.allocated, a.port)
}
