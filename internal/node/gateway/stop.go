package gateway

import (
	"context"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/runtimes"
)

// Shares of the requests that end within the time that a stopping gateway expects them to take. One that may run once is not sent again
// by its caller if it is cut.
const (
	repeatableShare = 0.9
	onceShare       = 0.99
)

// runTimesOf returns the estimator of the route's requests.
func (n *run) runTimesOf() *runtimes.Estimator {
	if n.r.route.Repeatable() {
		return &n.service.runTimes.repeatable
	}
	return &n.service.runTimes.once
}

// recordRunTime records how long the request ran at upstreams until its answer was written. One that its caller gave up tells nothing.
func (n *run) recordRunTime(ctx context.Context, now time.Time) {
	if n.service == nil || n.placedAt.IsZero() || context.Cause(ctx) == context.Canceled {
		return
	}
	n.runTimesOf().Record(now.Sub(n.firstPlacedAt), now)
}

// setStop tells the service's gate by when requests must have ended. It runs on the control loop.
func (g *Gateway) setStop(s *service, now time.Time) {
	if g.control.finishBy.IsZero() {
		return
	}
	stop := dispatch.Stop{FinishBy: g.control.finishBy}
	stop.Repeatable, _ = s.runTimes.repeatable.Quantile(repeatableShare, now)
	stop.Once, _ = s.runTimes.once.Quantile(onceShare, now)
	s.gate.SetStop(stop)
}
