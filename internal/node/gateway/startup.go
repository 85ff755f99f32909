package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxStartupWait is the longest that a request waits for a gateway that has just started: as long as callers of streams wait
	// for a first event, less the time to it.
	maxStartupWait = 1500 * time.Millisecond
	// startupWaitShare is the part of the time that a caller has left for which its request waits at most. The rest is enough for
	// another try elsewhere.
	startupWaitShare = 1.0 / 3
)

// startupWait lets requests wait until a gateway knows its configuration and upstreams.
//
// After all gateways have been killed none of them knows a configuration until the store has given it. Callers whose answers were
// cut off ask again for the last time then; refused, they are lost, although the gateway works a moment later.
type startupWait struct {
	once  sync.Once
	ready chan struct{}
}

func newStartupWait() *startupWait { return &startupWait{ready: make(chan struct{})} }

// finish lets the requests go on.
func (s *startupWait) finish() { s.once.Do(func() { close(s.ready) }) }

// finished reports whether requests need not wait.
func (s *startupWait) finished() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// wait waits at most so long. It reports whether the start is over.
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

// awaitStartup has a request wait while this gateway starts. A request that cannot be read is refused without waiting.
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
	_ = g.requests.ordinary.Log("msg", "start awaited", "request", call.Attempt, "over", finished, "store_up", g.config.Connection().Up,
		"waited_ms", time.Since(began).Milliseconds(), "left_ms", call.Remaining.Milliseconds())
}
