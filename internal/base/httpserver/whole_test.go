package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// longAnswer is the size in bytes of an answer that the sockets on both sides do not hold.
const longAnswer = 24 << 20

// Guards against a long answer whose end is dropped when its connection is closed while the caller still reads.
func TestSlowCallerGetsWholeAnswerBeforeClose(t *testing.T) {
	const plain, closing = "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	for name, tc := range map[string]struct {
		send  string
		drain bool
	}{
		"the caller asks to close":                  {closing, false},
		"the caller sends ahead and asks to close":  {closing + strings.Repeat(plain, 40), false},
		"the server drains":                         {plain, true},
		"the caller sends ahead, the server drains": {plain + strings.Repeat(plain, 40), true},
	} {
		t.Run(name, func(t *testing.T) {
			entered := make(chan struct{}, 50)
			srv, address := start(t, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
				entered <- struct{}{}
				time.Sleep(20 * time.Millisecond)
				_ = x.Respond(http.StatusOK, nil, make([]byte, longAnswer))
			})
			c := dial(t, address)
			_, _ = io.WriteString(c, tc.send)
			<-entered
			if tc.drain {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
					defer cancel()
					_ = srv.Drain(ctx)
					_ = srv.Stop(ctx)
				}()
			}
			time.Sleep(400 * time.Millisecond)
			_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, res.Body)
			if n != longAnswer || err != nil {
				t.Fatalf("%d of %d bytes, %v", n, longAnswer, err)
			}
		})
	}
}

// Guards against a request that is put together from what was left of others, after bytes that a caller had sent ahead were discarded,
// and against a request whose connection is closed for them.
func TestBytesSentAheadAreDiscardedToTheEnd(t *testing.T) {
	const connections, requests, filler = 150, 60, 3 << 10
	s := &served{}
	_, address := start(t, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
		s.add(string(x.Req.URI().Path()))
		time.Sleep(time.Duration(rand.Int64N(int64(400 * time.Microsecond))))
		_ = x.Respond(http.StatusOK, nil, nil)
	})
	answered := 0
	for i := range connections {
		c := dial(t, address)
		go func() {
			for n := range requests {
				path := fmt.Sprintf("/%d-%d", i, n)
				body := strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n", filler/40)
				if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body); err != nil {
					return
				}
			}
		}()
		r := bufio.NewReader(c)
		for readFinal(r) == nil {
			answered++
		}
		_ = c.Close()
	}
	all := s.all()
	if len(all) != answered || slices.Contains(all, "/smuggled") {
		t.Errorf("%d requests served, %d answered, smuggled %t", len(all), answered, slices.Contains(all, "/smuggled"))
	}
	t.Logf("%d of %d answered", answered, connections*requests)
}

// Guards against a refusal without a request, because the end of a chunked body arrived in two pieces.
func TestLastChunkInTwoPiecesLeavesNoRequest(t *testing.T) {
	_, address := start(t, httpserver.Limits{ReadTimeout: settings.Duration(300 * time.Millisecond)}, echo)
	c := dial(t, address)
	r := bufio.NewReader(c)
	for range 2 {
		for _, p := range []string{"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "\r\n"} {
			_, _ = io.WriteString(c, p)
			time.Sleep(20 * time.Millisecond)
		}
		expectBody(t, r, "hello")
		time.Sleep(700 * time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := r.Peek(1); err == nil {
		rest, _ := r.Peek(r.Buffered())
		t.Fatalf("got %q without a request", rest)
	}
}
