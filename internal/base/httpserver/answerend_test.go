package httpserver_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
)

// Guards against logs that do not tell an answer that was delivered from one that was cut, or by whom.
func TestAnswerEndIsReported(t *testing.T) {
	whole := func(_ context.Context, x *httpserver.Exchange) { _ = x.Respond(http.StatusOK, nil, []byte("body")) }
	long := func(_ context.Context, x *httpserver.Exchange) {
		_ = x.Respond(http.StatusOK, nil, make([]byte, longAnswer))
	}
	given := func(ctx context.Context, x *httpserver.Exchange) {
		_ = x.Stream(http.StatusOK, nil)
		_ = x.Write(ctx, []byte("part"))
	}
	const get, closing = "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	for name, tc := range map[string]struct {
		handler httpserver.Handler
		send    string
		// reads, hangsUp and stops say what the caller and the server do.
		reads, hangsUp, stops bool
		whole                 bool
		by                    httpserver.Closer
	}{
		"kept open":               {whole, get, true, false, false, true, httpserver.ClosedByNone},
		"closed after the answer": {whole, closing, true, false, false, true, httpserver.ClosedByServer},
		"given up by the handler": {given, get, true, false, false, false, httpserver.ClosedByHandler},
		"caller hangs up":         {long, get, false, true, false, false, httpserver.ClosedByCaller},
		"caller hangs up early":   {long, closing, false, true, false, false, httpserver.ClosedByCaller},
		"caller reads nothing":    {long, get, false, false, false, false, httpserver.ClosedByTimeout},
		"stopped without a drain": {long, get, false, false, true, false, httpserver.ClosedByStop},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ends := make(chan httpserver.AnswerEnd, 2)
			written := make(chan struct{})
			srv, address := start(t, httpserver.Limits{WriteTimeout: settings.Duration(600 * time.Millisecond)}, func(ctx context.Context, x *httpserver.Exchange) {
				x.OnEnd(func(e httpserver.AnswerEnd) { ends <- e })
				tc.handler(ctx, x)
				close(written)
			})
			c := dial(t, address)
			_, _ = io.WriteString(c, tc.send)
			<-written
			switch {
			case tc.reads:
				_ = readFinal(bufio.NewReader(c))
			case tc.hangsUp:
				time.Sleep(100 * time.Millisecond)
				_ = c.Close()
			case tc.stops:
				time.Sleep(100 * time.Millisecond)
				_ = srv.Stop(t.Context())
			}
			e := <-ends
			if e.Whole() != tc.whole || e.ClosedBy != tc.by || tc.whole != (e.DeliveredBytes == e.WrittenBytes) && tc.by != httpserver.ClosedByHandler {
				t.Errorf("whole %t: %+v", e.Whole(), e)
			}
			if len(ends) > 0 {
				t.Error("reported twice")
			}
		})
	}
}

// Guards against a caller that resets its connection in the middle of an answer, and leaves no trace in the logs.
func TestEndOfResetAnswerIsReported(t *testing.T) {
	ends := make(chan httpserver.AnswerEnd, 2)
	_, address := start(t, httpserver.Limits{}, func(ctx context.Context, x *httpserver.Exchange) {
		x.OnEnd(func(e httpserver.AnswerEnd) { ends <- e })
		_ = x.Stream(http.StatusOK, nil)
		for x.Write(ctx, []byte("event")) == nil && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	})
	c := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := bufio.NewReader(c).Peek(1); err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	if e := <-ends; e.Whole() || e.ClosedBy != httpserver.ClosedByCaller {
		t.Errorf("whole %t: %+v", e.Whole(), e)
	}
}
