package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// Run serves until ctx is done and then shuts down gracefully: requests in progress may finish within the grace time.
func (g *Gateway) Run(ctx context.Context) error {
	<-ctx.Done()
	return g.shutdown()
}

const (
	// maxLeavingShare is the maximum share of the grace time in which a leaving gateway still accepts requests, from
	// callers with a cached directory response. The rest is for finishing these requests.
	maxLeavingShare = 0.45
	// directoryTTLFactor is how far callers may exceed the TTL of a directory response: some cache it three times as
	// long, less the time that a request takes to arrive.
	directoryTTLFactor = 2.8
	// killMargin is how long before the end of the grace time the process stops at the latest, so that it is not
	// killed.
	killMargin = 300 * time.Millisecond
)

// leavingPeriod returns how long a leaving gateway still accepts requests.
//
// A stream that is accepted late in the grace time may not finish in it. By then hardly any caller still uses this
// address, and one that is refused tries another.
func leavingPeriod(grace, directoryTTL time.Duration) time.Duration {
	return min(time.Duration(maxLeavingShare*float64(grace)), time.Duration(directoryTTLFactor*float64(directoryTTL)))
}

// shutdown stops the gateway within the grace time. What was read is answered, and the answers have left when it returns; what cannot be
// finished in time is refused as not run.
func (g *Gateway) shutdown() error {
	began := time.Now()
	grace := g.Settings().Bounds.Grace.Std()
	end := began.Add(grace - killMargin)
	_ = level.Info(g.logger).Log("msg", "shutting down", "grace", grace, "running", g.servers.callers.Busy())
	g.setState(stateLeaving, end.Add(-httpserver.CancelLead))
	time.Sleep(leavingPeriod(grace, g.directoryTTL()))
	g.setState(stateClosing, end.Add(-httpserver.CancelLead))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	running := g.servers.callers.Busy()
	cut := cutBy(g.servers.callers.Drain(ctx))
	drainAll(ctx, g.servers.directory, g.servers.readiness)
	_ = level.Info(g.logger).Log("msg", "stopped", "running_at_drain", running, "cancelled", cut.Cancelled, "cut", cut.Running, "not_delivered", cut.Unsent, "after", time.Since(began))
	g.Kill()
	return nil
}

// cutBy returns what a drain could not finish.
func cutBy(err error) httpserver.DrainError {
	var e *httpserver.DrainError
	if errors.As(err, &e) {
		return *e
	}
	return httpserver.DrainError{}
}

// drainAll drains servers whose requests take no time.
func drainAll(ctx context.Context, servers ...*httpserver.Server) {
	var wait sync.WaitGroup
	for _, s := range servers {
		wait.Go(func() { _ = s.Drain(ctx) })
	}
	wait.Wait()
}

// setState changes the node's state on the control loop, with the time by which all requests must have ended, and waits until that is
// done.
func (g *Gateway) setState(s nodeState, finishBy time.Time) {
	done := make(chan struct{})
	g.loop.Post(func(now time.Time) {
		g.control.ownState, g.control.finishBy = s, finishBy
		for _, service := range g.control.services {
			g.setStop(service, now)
		}
		g.publish()
		// The tick releases the duty before the digests are sent, so that they already report it.
		g.experts.tick(now)
		g.peers.sendToAll(now)
		close(done)
	})
	<-done
}

// Kill stops the gateway immediately, as a crash would.
func (g *Gateway) Kill() {
	g.cancel()
	var wait sync.WaitGroup
	for _, s := range []*httpserver.Server{g.servers.callers, g.servers.directory, g.servers.readiness} {
		wait.Go(func() { _ = s.Stop(context.Background()) })
	}
	wait.Go(g.peers.stop)
	wait.Wait()
	g.client.Close()
}
