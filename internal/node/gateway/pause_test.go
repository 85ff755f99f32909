package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// timedDialect reads only the caller's remaining time.
type timedDialect struct {
	Dialect
	remaining time.Duration
}

func (d timedDialect) ReadCall(*fasthttp.RequestHeader) (Call, error) {
	return Call{HasRemaining: true, Remaining: d.remaining}, nil
}

// Guards against sending an upstream a request that its caller cancelled long ago. A gateway resumes after a pause of
// four seconds, and the header still states remaining time; the pause must count as age of the request.
func TestProcessPauseCountsAsRequestAge(t *testing.T) {
	service := &catalog.Service{Name: "s"}
	route := &catalog.Route{Name: "r", Host: "h", Prefix: "/", Timeout: 8 * time.Second, Services: []catalog.WeightedService{{Service: "s", Weight: 1}}}
	v := &view{config: catalog.New(1, []*catalog.Route{route}, []*catalog.Service{service}, nil, catalog.Limits{}), state: stateReady}
	req := &fasthttp.Request{}
	req.Header.SetHost("h")
	req.SetRequestURI("/x")
	const paused = 4 * time.Second
	for left, want := range map[time.Duration]failure.Code{1200 * time.Millisecond: failure.CodeDeadlinePassed, 6 * time.Second: ""} {
		g := &Gateway{dialect: timedDialect{remaining: left}}
		now := time.Now()
		r, err := g.readRequest(v, req, now.Add(-paused))
		var failed *failure.Error
		if errors.As(err, &failed); (failed == nil && want != "") || (failed != nil && failed.Code != want) {
			t.Errorf("%v left: got %v, want %q", left, err, want)
		}
		if r.deadline.After(now.Add(left - paused)) {
			t.Errorf("%v left: the deadline is %v from now", left, r.deadline.Sub(now))
		}
	}
}

// Guards against a sound stream that is cut before its caller's time is over, because the process had been paused before the request came.
// One that came during the pause must still count as that old.
func TestRequestAfterProcessPauseKeepsItsTime(t *testing.T) {
	const paused, tolerance = 3 * time.Second, 300 * time.Millisecond
	for name, tc := range map[string]struct{ unread, want time.Duration }{
		"came after the pause":  {0, 0},
		"came during the pause": {time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			stood, busy := make(chan time.Duration, 1), make(chan struct{})
			address := loopback.Address()
			server, err := httpserver.Start(address, 1, httpserver.Limits{}, func(_ context.Context, x *httpserver.Exchange) {
				if string(x.Req.URI().Path()) == "/busy" {
					x.OnEnd(func(httpserver.AnswerEnd) { // runs on the event loop
						close(busy)
						time.Sleep(tc.unread)
					})
				} else {
					stood <- stoodUnread(x, paused, time.Now())
				}
				_ = x.Respond(http.StatusOK, nil, nil)
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Stop(context.Background()) }()
			for _, path := range []string{"/busy", "/late"} {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
				<-busy
			}
			if got := <-stood; (got - tc.want).Abs() > tolerance {
				t.Errorf("stood unread for %v, want %v", got, tc.want)
			}
		})
	}
}
