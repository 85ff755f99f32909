package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
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
