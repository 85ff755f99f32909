package loopback_test

import (
	"os/exec"
	"sync"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// A relay is closed and opened again at its address while another goroutine starts processes. Between fork and exec a
// child has a copy of the closed socket, so that the address is still taken: a run of the soak fails with "address
// already in use".
func TestAnAddressIsListenedOnAgainWhileProcessesStart(t *testing.T) {
	const rounds = 3000
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run() // only its start matters
				}
			}
		})
	}
	defer starters.Wait()
	defer close(stop)
	address := loopback.Address()
	for range rounds {
		l, err := loopback.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// Addresses are handed out to seeds that run at the same time; two of the same would stop one of them.
func TestNoAddressIsHandedOutTwice(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		a := loopback.Address()
		if seen[a] {
			t.Fatalf("%s was handed out twice", a)
		}
		seen[a] = true
	}
}
