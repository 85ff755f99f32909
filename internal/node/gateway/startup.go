package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxStartupWait is the maximum time that a request waits for a gateway that has just started: as long as callers
	// of streams wait for a first event, less the time to produce it.
	maxStartupWait = 1500 * time.Millisecond
	// startupWaitShare is the maximum share of a caller's remaining time for which its request waits. The rest is
	// enough for another attempt elsewhere.
	startupWaitShare = 1.0 / 3
)

// startupWait makes requests wait until a gateway has its configuration and upstreams.
//
// After all gateways were killed, none of them has a configuration until the store delivers it. Callers whose responses
// were truncated then make their last attempt. If it were refused, their requests would be lost, although the gateway
// works a moment later.
type startupWait struct {
	once  sync.Once
	ready chan struct{}
}

func newStartupWait() *startupWait { return &startupWait{ready: make(chan struct{})} }

// finish releases the waiting requests.
func (s *startupWait) finish() { s.once.Do(func() { close(s.ready) }) }

// finished reports whether the startup is over, so that requests need not wait.
func (s *startupWait) finished() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// wait waits for the end of the startup, at most for limit, and reports whether it is over.
func (s *startupWait) wait(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// awaitStartup makes a request wait while this gateway starts. A request whose header is malformed or states no
// remaining time does not wait.
func (g *Gateway) awaitStartup(ctx context.Context, in *fasthttp.Request) {
	if g.startup.finished() || g.disabled(mechanismStartWait) {
		return
	}
	call, err := g.dialect.ReadCall(&in.Header)
	if err != nil || !call.HasRemaining {
		return
	}
	began := time.Now()
	finished := g.startup.wait(ctx, min(maxStartupWait, time.Duration(startupWaitShare*float64(call.Remaining))))
	_ = g.requests.ordinary.Log("msg", "request waited for startup", "request", call.Attempt, "over", finished, "store_up", g.configFollower.Connection().Up,
		"waited_ms", time.Since(began).Milliseconds(), "left_ms", call.Remaining.Milliseconds())
}
