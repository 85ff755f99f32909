package httpserver_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// Guards against a request that was read late and counts as new, and one that was read at once and counts as old.
func TestArrivalIsWhenTheLastBytesCame(t *testing.T) {
	const busyFor, tolerance = 700 * time.Millisecond, 200 * time.Millisecond
	busy := make(chan struct{})
	type arrival struct {
		age   time.Duration
		known bool
	}
	arrivals := make(chan arrival, 1)
	_, address := start(t, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
		if string(x.Req.URI().Path()) == "/busy" {
			x.OnEnd(func(httpserver.AnswerEnd) { // runs on the event loop
				close(busy)
				time.Sleep(busyFor)
			})
		} else {
			age, known := x.SinceArrival()
			arrivals <- arrival{age, known}
		}
		_ = x.Respond(http.StatusOK, nil, nil)
	})
	c := dial(t, address)
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, want := range map[string]time.Duration{"read at once": 0, "read late": busyFor} {
		if want > 0 {
			_, _ = io.WriteString(dial(t, address), "GET /busy HTTP/1.1\r\nHost: a\r\n\r\n")
			<-busy
		}
		_, _ = io.WriteString(c, request)
		if got := <-arrivals; !got.known || (got.age-want).Abs() > tolerance {
			t.Errorf("%s: %+v, want %v", name, got, want)
		}
		time.Sleep(tolerance / 10)
	}
	_, _ = io.WriteString(c, request+request)
	if got := <-arrivals; got.known {
		t.Errorf("with further bytes: %+v, want an unknown age", got)
	}
}
