package httpserver_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// Guards against a body without a length whose end comes only at the next tick of the event loop.
func TestBodyUntilCloseEndsAtOnce(t *testing.T) {
	const requests, allowed = 20, 100 * time.Millisecond
	_, address := start(t, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
		_ = x.RespondUntilClose(ctx, http.StatusOK, nil, []byte("body"))
	})
	for range requests {
		began := time.Now()
		c := dial(t, address)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		if text, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(text), "body") {
			t.Fatalf("%q, %v", text, err)
		}
		if took := time.Since(began); took > allowed {
			t.Fatalf("ended after %s", took)
		}
	}
}

// Guards against a body without a length that is cut off where the handler gives up, or by a full socket, and that the caller
// takes for complete.
func TestBodyUntilCloseIsCompleteOrReset(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 1<<18) // more than the socket buffers take at once
	tests := map[string]struct {
		body     string
		end      bool
		complete bool
	}{
		"short, ended":    {"body", true, true},
		"empty, ended":    {"", true, true},
		"long, ended":     {long, true, true},
		"short, given up": {"body", false, false},
		"long, given up":  {long, false, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, address := start(t, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
				if err := x.StreamUntilClose(http.StatusOK, nil); err != nil {
					t.Error(err)
				}
				if err := x.Write(ctx, []byte(tc.body)); err != nil {
					t.Error(err)
				}
				if tc.end {
					if err := x.End(); err != nil {
						t.Error(err)
					}
				}
			})
			res, err := http.Get("http://" + address)
			if err != nil {
				if tc.complete {
					t.Fatal(err)
				}
				return // reset before the header was read
			}
			defer func() { _ = res.Body.Close() }()
			if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || !res.Close {
				t.Errorf("length %d, coding %v, close %t", res.ContentLength, res.TransferEncoding, res.Close)
			}
			body, err := io.ReadAll(res.Body)
			if complete := err == nil; complete != tc.complete || complete && string(body) != tc.body {
				t.Fatalf("%d of %d bytes, %v", len(body), len(tc.body), err)
			}
		})
	}
}

// Guards against an answer that is dropped, and reported as one whose caller disconnected, because the event loop is busy for over a second.
func TestBodyUntilCloseWaitsForBusyEventLoop(t *testing.T) {
	const busyFor = 1500 * time.Millisecond
	busy := make(chan struct{})
	_, address := start(t, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
		if string(x.Req.URI().Path()) == "/busy" {
			x.OnEnd(func(httpserver.AnswerEnd) { // runs on the event loop
				close(busy)
				time.Sleep(busyFor)
			})
			_ = x.Respond(http.StatusOK, nil, nil)
			return
		}
		<-busy
		if err := x.RespondUntilClose(ctx, http.StatusOK, nil, []byte("body")); err != nil {
			t.Error(err)
		}
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(100 * time.Millisecond) // until the request is read
	_, _ = io.WriteString(dial(t, address), "GET /busy HTTP/1.1\r\nHost: a\r\n\r\n")
	if text, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(text), "body") {
		t.Fatalf("%q, %v", text, err)
	}
}
