package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
)

// Run serves until ctx ends, and then leaves in the order that cuts nothing off.
func (g *Gateway) Run(ctx context.Context) error {
	<-ctx.Done()
	return g.shutdown()
}

const (
	// maxLeavingShare is the most of the grace time in which requests of callers that keep an old answer are still served: the rest
	// is for what they have begun.
	maxLeavingShare = 0.45
	// directoryTTLFactor is how many times as long as they are told callers may keep an answer of the directory: some keep it three
	// times as long, less what a request takes to arrive.
	directoryTTLFactor = 2.8
	// killMargin is when the process ends at the latest, before it would be killed.
	killMargin = 300 * time.Millisecond
)

// leavingPeriod is for how long a gateway that leaves still takes requests.
//
// A stream that is taken late in the grace time may not end in it. By then hardly a caller has this address any more, and one
// that is refused goes to another.
func leavingPeriod(grace, directoryTTL time.Duration) time.Duration {
	return min(time.Duration(maxLeavingShare*float64(grace)), time.Duration(directoryTTLFactor*float64(directoryTTL)))
}

func (g *Gateway) shutdown() error {
	began := time.Now()
	grace := g.Settings().Bounds.Grace.Std()
	_ = level.Info(g.logger).Log("msg", "leaving", "grace", grace, "running", g.servers.callers.Busy())
	g.setState(stateLeaving)
	time.Sleep(leavingPeriod(grace, g.directoryTTL()))
	g.setState(stateClosing)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-killMargin))
	defer cancel()
	err := g.servers.callers.Drain(ctx)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("leave: %w", err)
	}
	_ = level.Info(g.logger).Log("msg", "stopped", "cut", g.servers.callers.Busy(), "after", time.Since(began))
	g.Kill()
	return nil
}

// setState changes the node's state on the control loop and waits for it.
func (g *Gateway) setState(s nodeState) {
	done := make(chan struct{})
	g.loop.Post(func(now time.Time) {
		g.control.node = s
		g.publish()
		// Before the others are told, so that they hear at once that a duty is free.
		g.experts.tick(now)
		g.peers.sendToAll(now)
		close(done)
	})
	<-done
}

// Kill ends the gateway at once, as a crash would.
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
