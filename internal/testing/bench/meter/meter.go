// Package meter gives the benches access to resources of the machine: processor time and free ports.
package meter

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// ProcessorTime returns the processor time that this process has used in user and system mode, or 0 if the system does
// not report it.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// FreePort returns the address of a TCP port on loopback that was free at the time of the call, as IP:PORT.
func FreePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
