package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// served records the paths of the requests that a handler got, in order.
type served struct {
	mu    sync.Mutex
	paths []string
}

func (s *served) add(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paths = append(s.paths, path)
}

func (s *served) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.paths)
}

// Guards against a request that is read and served twice: pipelined requests of each form, cut into pieces at any byte.
func TestPipelinedRequestsAreServedOnce(t *testing.T) {
	const rounds, requests = 60, 12
	s := &served{}
	_, address := start(t, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
		s.add(string(x.Req.URI().Path()) + " " + string(x.Req.Body()))
		_ = x.Respond(http.StatusOK, nil, x.Req.Body())
	})
	rng := rand.New(rand.NewPCG(59, 0))
	var want []string
	for round := range rounds {
		var text strings.Builder
		for i := range requests {
			body := strings.Repeat("b", rng.IntN(40))
			path := fmt.Sprintf("/%d-%d", round, i)
			want = append(want, path+" "+body)
			text.WriteString(requestText(path, body, rng.IntN(3)))
		}
		sendInPieces(t, dial(t, address), text.String(), requests, rng)
	}
	if got := s.all(); !slices.Equal(got, want) {
		t.Fatalf("%d requests served, %d sent, or not in order", len(got), len(want))
	}
}

func requestText(path, body string, form int) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: a\r\n"
	switch {
	case form == 0 && body != "":
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	case form == 1:
		return fmt.Sprintf("%sExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func sendInPieces(t *testing.T, c net.Conn, text string, requests int, rng *rand.Rand) {
	go func(pieces []int) {
		for _, n := range pieces {
			n = min(n, len(text))
			_, _ = io.WriteString(c, text[:n])
			text = text[n:]
			time.Sleep(200 * time.Microsecond)
		}
		_, _ = io.WriteString(c, text)
	}([]int{rng.IntN(90), rng.IntN(90), rng.IntN(300), rng.IntN(300), 1, 1, 1, rng.IntN(90)})
	r := bufio.NewReader(c)
	for range requests {
		if err := readFinal(r); err != nil {
			t.Fatal(err)
		}
	}
}

// readFinal reads a response that may follow interim ones.
func readFinal(r *bufio.Reader) error {
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if err != nil || res.StatusCode != http.StatusContinue {
			return err
		}
	}
}

// Guards against a request that is served and whose idle connection is then closed without an answer: the caller takes it for not
// read, and sends it again.
func TestIdleConnectionIsNotClosedUnderARequest(t *testing.T) {
	const callers, length = 150, 3 * time.Second
	s := &served{}
	limits := httpserver.Limits{IdleTimeout: settings.Duration(time.Millisecond)}
	_, address := start(t, limits, func(_ context.Context, x *httpserver.Exchange) {
		s.add(string(x.Req.URI().Path()))
		time.Sleep(time.Millisecond)
		_ = x.Respond(http.StatusOK, nil, nil)
	})
	unanswered := &served{}
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for caller := range callers {
		wait.Go(func() {
			rng := rand.New(rand.NewPCG(59, uint64(caller)))
			for life := 0; time.Now().Before(end); life++ {
				if path := useUntilClosed(address, fmt.Sprintf("/%d-%d", caller, life), end, rng); path != "" {
					unanswered.add(path)
				}
			}
		})
	}
	wait.Wait()
	all := s.all()
	for _, path := range unanswered.all() {
		if slices.Contains(all, path) {
			t.Errorf("request %s was served, and its connection closed without an answer", path)
		}
	}
	t.Logf("%d requests served, %d connections closed before an answer", len(all), len(unanswered.all()))
}

// useUntilClosed sends requests on one connection. It returns the path of the one that got no answer, if there is one.
func useUntilClosed(address, name string, end time.Time, rng *rand.Rand) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(8 * time.Millisecond))))
		path := fmt.Sprintf("%s-%d", name, i)
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return path
		}
		if readFinal(r) != nil {
			return path
		}
	}
	return ""
}
