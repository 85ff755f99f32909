package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// start serves h on a free port and returns the server and its address.
func start(t *testing.T, l httpserver.Limits, h httpserver.Handler) (*httpserver.Server, string) {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	s, err := httpserver.Start(address, 1, l, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s, address
}

func echo(_ context.Context, x *httpserver.Exchange) {
	_ = x.Respond(http.StatusOK, nil, x.Req.Body())
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestBadInputGetsTypedResponse(t *testing.T) {
	limits := httpserver.Limits{MaxHeaderBytes: 512, MaxBodyBytes: 64, ReadTimeout: settings.Duration(300 * time.Millisecond)}
	tests := map[string]struct {
		send string
		code string
	}{
		"not http":            {"hello\r\n\r\n", "malformed"},
		"bad length":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "malformed"},
		"bad chunk":           {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "malformed"},
		"header too large":    {"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 600), "too-large"},
		"body too large":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n", "too-large"},
		"chunks too large":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("a", 65) + "\r\n", "too-large"},
		"half-sent header":    {"GET / HT", "malformed"},
		"half-sent body":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", "malformed"},
		"half-sent chunk":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", "malformed"},
		"two different sizes": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "malformed"},
	}
	_, address := start(t, limits, echo)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			if _, err := io.WriteString(c, tc.send); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			if got := res.Header.Get(httpserver.HeaderFailure); got != tc.code || !res.Close {
				t.Fatalf("got failure %q, close %t; want %q and a closed connection", got, res.Close, tc.code)
			}
		})
	}
}

func TestFragmentedBodiesAreReassembled(t *testing.T) {
	_, address := start(t, httpserver.Limits{}, echo)
	tests := map[string][]string{
		"length in pieces": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Le", "ngth: 5\r\n\r\nhe", "llo"},
		"chunks in pieces": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n", "3\r\nll", "o\r\n0\r\n", "\r\n"},
	}
	for name, pieces := range tests {
		t.Run(name, func(t *testing.T) {
			c := dial(t, address)
			for _, p := range pieces {
				if _, err := io.WriteString(c, p); err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Millisecond)
			}
			expectBody(t, bufio.NewReader(c), "hello")
		})
	}
}

func expectBody(t *testing.T, r *bufio.Reader, want string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != want {
		t.Fatalf("got %q, %v; want %q", body, err, want)
	}
}

func TestExpectContinue(t *testing.T) {
	_, address := start(t, httpserver.Limits{}, echo)
	c := dial(t, address)
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("got %q, %v", line, err)
	}
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "ok")
	expectBody(t, r, "ok")
}

// Guards against responses out of order and against a lost request, when the caller pipelines two requests on one
// connection: the second must not start before the first response is sent.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	_, address := start(t, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
		if string(x.Req.URI().Path()) == "/slow" {
			time.Sleep(20 * time.Millisecond)
		}
		_ = x.Respond(http.StatusOK, nil, x.Req.URI().Path())
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /fast HTTP/1.1\r\nHost: a\r\n\r\n")
	r := bufio.NewReader(c)
	expectBody(t, r, "/slow")
	expectBody(t, r, "/fast")
}

// Guards against an engine that keeps working on a response that no caller receives. The caller disconnects in
// mid-stream, which must cancel the handler's context.
func TestDisconnectCancelsRequest(t *testing.T) {
	cancelled := make(chan struct{})
	_, address := start(t, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		_ = x.Write(ctx, []byte("x"))
		<-ctx.Done()
		close(cancelled)
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	<-cancelled
}

// Guards against a caller that waits forever because the handler returned in mid-stream and the connection stayed open.
// It must be closed without the last chunk, so that the caller sees a truncated response.
func TestUnfinishedStreamClosesConnection(t *testing.T) {
	_, address := start(t, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		_ = x.Write(ctx, []byte("part"))
	})
	res, err := http.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.ReadAll(res.Body); err == nil {
		t.Fatal("the truncated response was read as complete")
	}
}

// Guards against a caller that fills the entry's memory by not reading its stream. The writer must block and, after the
// write timeout, the connection must be closed and the request cancelled.
func TestSlowReaderIsDisconnected(t *testing.T) {
	limits := httpserver.Limits{MaxUnreadBytes: 64 << 10, WriteTimeout: settings.Duration(300 * time.Millisecond)}
	written := make(chan int, 1)
	_, address := start(t, limits, func(ctx context.Context, x *httpserver.Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		piece := make([]byte, 16<<10)
		n := 0
		for x.Write(ctx, piece) == nil {
			n += len(piece)
		}
		written <- n
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	const kernelBuffers = 16 << 20
	if n := <-written; n > kernelBuffers {
		t.Fatalf("%d bytes were accepted for a caller that reads nothing", n)
	}
}

// Guards against truncated responses when a server drains: it must complete the running requests.
func TestDrainCompletesRunningRequests(t *testing.T) {
	entered := make(chan struct{})
	release := make(chan struct{})
	s, address := start(t, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
		close(entered)
		<-release
		_ = x.Respond(http.StatusOK, nil, []byte("done"))
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != "done" {
		t.Fatalf("got %q, %v", body, err)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

func BenchmarkServer(b *testing.B) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	s, err := httpserver.Start(address, 1, httpserver.Limits{}, echo)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = s.Stop(context.Background()) }()
	c, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for b.Loop() {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}
