package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// maxRankWatchInterval is the longest interval between two polls of a rank that refuses requests; the interval doubles
// from watchInterval. A spare rank may refuse forever, and a rank whose group has formed again stays closed for half a
// second at most.
const maxRankWatchInterval = 500 * time.Millisecond

// closeRank holds back requests from one rank until it reports that its group is open. The caller holds the lock.
func (w *groupWatch) closeRank(ctx context.Context, u *catalog.Upstream, reason string) {
	if u == nil || w.ranksWatched[u.Incarnation()] {
		return
	}
	w.ranksWatched[u.Incarnation()] = true
	w.gate.SetUpstreamClosed(u.Incarnation(), true)
	go w.watchRank(ctx, u, reason)
}

func (w *groupWatch) watchRank(ctx context.Context, u *catalog.Upstream, reason string) {
	began := time.Now()
	interval := watchInterval
	state := w.readRank(ctx, u)
	if state == groupBroken {
		w.survey(ctx, reason)
	}
	for w.listed(u) && ctx.Err() == nil && !state.mayOpen(time.Since(began)) {
		monotonic.Sleep(ctx, interval)
		interval = min(2*interval, maxRankWatchInterval)
		state = w.readRank(ctx, u)
	}
	w.mu.Lock()
	delete(w.ranksWatched, u.Incarnation())
	w.gate.SetUpstreamClosed(u.Incarnation(), false)
	w.mu.Unlock()
	if time.Since(began) < watchInterval {
		return // the rank was only full
	}
	_ = level.Info(w.logger).Log("msg", "rank closed to requests", "upstream", u.ID, "reason", reason, "for", time.Since(began))
}

// listed reports whether the upstream's incarnation is still one of the service's upstreams.
func (w *groupWatch) listed(u *catalog.Upstream) bool {
	return slices.ContainsFunc(w.upstreams(), func(v *catalog.Upstream) bool { return v.Incarnation() == u.Incarnation() })
}
