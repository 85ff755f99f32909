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
	"sync"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// Guards against a connection that is closed for unread bytes although its caller has read them all.
func TestReadResponseDoesNotCloseIdleConnection(t *testing.T) {
	limits := httpserver.Limits{WriteTimeout: settings.Duration(500 * time.Millisecond)}
	_, address := start(t, limits, func(_ context.Context, x *httpserver.Exchange) {
		_ = x.Respond(http.StatusOK, nil, make([]byte, 16<<20))
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET /big HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	r := bufio.NewReader(c)
	if err := readFinal(r); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	begun := time.Now()
	if _, err := r.ReadByte(); err == io.EOF {
		t.Fatalf("closed %v after the response was read", time.Since(begun))
	} else {
		t.Log(err)
	}
}

// Guards against a request that is served and whose connection is then closed for unread bytes of the response before.
func TestUnreadTimeoutIsNotAppliedUnderNextRequest(t *testing.T) {
	const callers, length = 60, 20 * time.Second
	s := &served{}
	limits := httpserver.Limits{WriteTimeout: settings.Duration(50 * time.Millisecond)}
	_, address := start(t, limits, func(_ context.Context, x *httpserver.Exchange) {
		path := string(x.Req.URI().Path())
		s.add(path)
		if path[1] == 'b' {
			_ = x.Respond(http.StatusOK, nil, make([]byte, 6<<20))
			return
		}
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
				c, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n")
				time.Sleep(15 * time.Millisecond)
				r := bufio.NewReader(c)
				if readFinal(r) == nil {
					time.Sleep(time.Duration(rng.Int64N(int64(1200 * time.Millisecond))))
					path := fmt.Sprintf("/%d-%d", caller, life)
					if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil || readFinal(r) != nil {
						unanswered.add(path)
					}
				}
				_ = c.Close()
			}
		})
	}
	wait.Wait()
	all, bad := s.all(), 0
	for _, path := range unanswered.all() {
		if slices.Contains(all, path) {
			bad++
			t.Errorf("request %s was served, and its connection closed without an answer", path)
		}
	}
	t.Logf("%d served, %d closed before an answer, %d of them served", len(all), len(unanswered.all()), bad)
}

// Guards against a caller that reads, but more slowly than the answer is written, and whose connection is closed as if it read nothing.
func TestReaderSlowerThanWriterIsNotDisconnected(t *testing.T) {
	const (
		pieces, pieceBytes = 100, 256 << 10
		writePause         = 10 * time.Millisecond
		readBytes          = 32 << 10
		slowFor            = 1500 * time.Millisecond
	)
	limits := httpserver.Limits{WriteTimeout: settings.Duration(400 * time.Millisecond), MaxUnreadBytes: 2 * pieces * pieceBytes}
	_, address := start(t, limits, func(ctx context.Context, x *httpserver.Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		for range pieces {
			if err := x.Write(ctx, make([]byte, pieceBytes)); err != nil {
				t.Error(err)
				return
			}
			time.Sleep(writePause)
		}
		_ = x.End()
	})
	c := dial(t, address)
	_ = c.(*net.TCPConn).SetReadBuffer(readBytes)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	read := int64(0)
	for began := time.Now(); err == nil && time.Since(began) < slowFor; time.Sleep(writePause) {
		var n int64
		n, err = io.CopyN(io.Discard, res.Body, readBytes)
		read += n
	}
	if err == nil {
		var n int64
		n, err = io.Copy(io.Discard, res.Body)
		read += n
	}
	if err != nil || read != pieces*pieceBytes {
		t.Fatalf("read %d of %d bytes, %v", read, pieces*pieceBytes, err)
	}
}
