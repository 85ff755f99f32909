package slot

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// hastyService answers before it has read anything, and then reads what comes.
type hastyService struct {
	mu  sync.Mutex
	got map[string]int
}

func (s *hastyService) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	time.Sleep(time.Duration(rand.IntN(60)) * time.Microsecond)
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\n")
	go func() {
		time.Sleep(3 * time.Millisecond)
		_, _ = io.WriteString(c, "end")
	}()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := r.Header.Get(engineHeaderID)
	_, err = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	if err == nil {
		s.got[id]++
	}
	s.mu.Unlock()
	time.Sleep(time.Millisecond)
}

// Guards against a request that is written in place of another one: an answer arrives before the writer of a long body has begun, and
// the request is used for another call meanwhile.
func TestEarlyAnswerDoesNotMixRequests(t *testing.T) {
	const callers, length = 64, 2 * time.Second
	service := &hastyService{got: map[string]int{}}
	l, err := net.Listen("tcp", loopback.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go service.serve(c)
		}
	}()
	s := testSlot(l.Addr().String())
	body := []byte(strings.Repeat("b", 8000))
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	sent := make([]uint64, callers)
	for caller := range callers {
		wait.Go(func() {
			for time.Now().Before(end) {
				j := testAttempt()
				sent[caller]++
				j.Attempt = ids.Attempt{Entry: "e", Seq: uint64(caller)<<32 + sent[caller]}
				j.body = body
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				_, _ = s.callPlain(ctx, j)
				cancel()
			}
		})
	}
	wait.Wait()
	time.Sleep(50 * time.Millisecond)
	service.mu.Lock()
	defer service.mu.Unlock()
	total := uint64(0)
	for _, n := range sent {
		total += n
	}
	for id, n := range service.got {
		if n > 1 || id == "" {
			t.Errorf("request %q reached the service %d times", id, n)
		}
	}
	t.Logf("%d requests sent, %d arrived whole", total, len(service.got))
}
