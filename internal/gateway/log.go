package gateway

import (
	"time"

	"github.com/go-kit/log/level"
)

// decided logs what was decided about a request that was not tried.
func (g *Gateway) decided(r *request, outcome string, err error) {
	_ = level.Info(g.logger).Log("msg", "request", "outcome", outcome, "request", r.call.Attempt, "revision", r.revision,
		"client", r.client, "err", err)
}

// placed logs where an attempt goes.
func (g *Gateway) placed(n *run) {
	_ = level.Debug(g.logger).Log("msg", "placed", "request", n.r.call.Attempt, "route", n.r.route.Name, "upstream", n.upstream,
		"attempt", n.sent+n.unreached+1, "waited_ms", n.placedAt.Sub(n.r.arrived).Milliseconds())
}

// repeated logs that another attempt follows.
func (g *Gateway) repeated(n *run, err error) {
	g.metrics.repeated(n.r.service.Name)
	_ = level.Info(g.logger).Log("msg", "another attempt", "request", n.r.call.Attempt, "route", n.r.route.Name,
		"upstream", n.upstream, "sent", n.sent, "may_have_run", n.mayHaveRun, "after_event", n.stream.lastEvent, "err", err)
}

// answered logs how a request ended.
func (g *Gateway) answered(n *run, err error) {
	g.metrics.answered(n.r.service.Name, err)
	l := level.Info(g.logger)
	if err == nil {
		l = level.Debug(g.logger)
	}
	now := time.Now()
	_ = l.Log("msg", "request", "outcome", outcomeText(err), "request", n.r.call.Attempt, "route", n.r.route.Name,
		"revision", n.r.revision, "client", n.r.client, "upstream", n.upstream, "sent", n.sent, "events", n.stream.events,
		"placed_ms", sinceArrival(n, n.placedAt), "first_ms", sinceArrival(n, n.firstAt), "total_ms", sinceArrival(n, now),
		"left_ms", n.r.deadline.Sub(now).Milliseconds(), "err", err)
}

func outcomeText(err error) string {
	if err == nil {
		return "answered"
	}
	return "failed"
}

// sinceArrival is in milliseconds; -1 if it did not come to it.
func sinceArrival(n *run, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return t.Sub(n.r.arrived).Milliseconds()
}

// noteFirst notes when the first piece of the answer came.
func (n *run) noteFirst() {
	if !n.firstAt.IsZero() {
		return
	}
	n.firstAt = time.Now()
	n.g.metrics.first(n.r.service.Name, n.firstAt.Sub(n.r.arrived).Seconds())
}
