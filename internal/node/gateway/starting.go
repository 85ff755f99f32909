package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// startWait is the longest that a request waits for a gateway that has just started: as long as callers of streams wait
	// for a first event, less the time to it.
	startWait = 1500 * time.Millisecond
	// startShare is the part of the time that a caller has left for which its request waits at most. The rest is enough for
	// another try elsewhere.
	startShare = 1.0 / 3
)

// starting lets requests wait until a gateway knows its configuration and upstreams.
//
// After all gateways have been killed none of them knows a configuration until the store has given it. Callers whose answers were
// cut off ask again for the last time then; refused, they are lost, although the gateway works a moment later.
type starting struct {
	once  sync.Once
	known chan struct{}
}

func newStarting() *starting { return &starting{known: make(chan struct{})} }

// end lets the requests go on.
func (s *starting) end() { s.once.Do(func() { close(s.known) }) }

// over reports whether requests need not wait.
func (s *starting) over() bool {
	select {
	case <-s.known:
		return true
	default:
		return false
	}
}

// wait waits at most so long. It reports whether the start is over.
func (s *starting) wait(ctx context.Context, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-s.known:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// awaitStart has a request wait while this gateway starts. A request that cannot be read is refused without waiting.
func (g *Gateway) awaitStart(ctx context.Context, in *fasthttp.Request) {
	if g.starting.over() || g.off(offStartWait) {
		return
	}
	call, err := g.dialect.ReadCall(&in.Header)
	if err != nil || !call.HasRemaining {
		return
	}
	began := time.Now()
	over := g.starting.wait(ctx, min(startWait, time.Duration(startShare*float64(call.Remaining))))
	_ = g.requests.ordinary.Log("msg", "start awaited", "request", call.Attempt, "over", over, "store_up", g.config.Connection().Up,
		"waited_ms", time.Since(began).Milliseconds(), "left_ms", call.Remaining.Milliseconds())
}
