// Package meter holds what benches need of the machine: processor time and free ports.
package meter

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// ProcessorTime is what this process has used so far, in user and system mode; 0 if the system does not tell.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// FreePort finds a free port on loopback and returns it as IP:PORT.
func FreePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
