package loopback_test

import (
	"os/exec"
	"sync"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// Guards against "address already in use" when a relay is closed and reopened while another goroutine starts processes:
// between fork and exec, a child has a copy of the closed socket, which keeps the address in use. Runs of the soak failed
// this way.
func TestListenReopensAddressWhileProcessesStart(t *testing.T) {
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
					_ = exec.Command("true").Run() // only the start of the process matters
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

// Guards against an address that is returned twice: seeds run concurrently, and one of the two would fail to listen.
func TestAddressIsUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		a := loopback.Address()
		if seen[a] {
			t.Fatalf("%s was returned twice", a)
		}
		seen[a] = true
	}
}
