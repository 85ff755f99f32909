package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// watchInterval is the interval at which a broken group is polled; callers wait for it.
	watchInterval = 80 * time.Millisecond
	// staleReportPeriod is how long after a refusal a report that is not fresh may still describe the group as it was
	// before.
	staleReportPeriod = 300 * time.Millisecond
	// maxWatchReads is how many ranks are polled concurrently, in case the dead rank is one of them. maxSurveyReads
	// applies instead if the ranks may belong to several groups or to none.
	maxWatchReads  = 3
	maxSurveyReads = 24
	// unknownGroupTimeout is how long a group whose ranks do not respond stays closed before requests may try it.
	unknownGroupTimeout = 400 * time.Millisecond
)

// groupWatch polls the model groups of a service from the first sign of a failure until one works again, and keeps the
// service's gate closed meanwhile: requests wait in the gate instead of being refused by each rank.
type groupWatch struct {
	ranks  lockstep.RankClient
	gate   *dispatch.Gate
	logger log.Logger
	// upstreams returns the service's current upstreams.
	upstreams func() []*catalog.Upstream

	mu            sync.Mutex
	watching      bool
	lastFailureAt time.Time
	// groupSize is the number of ranks of one group; 0 until a rank has reported it.
	groupSize int
	// disabled reports whether a mechanism is disabled; nil if none is.
	disabled func(dispatch.Mechanism) bool
	// ranksWatched holds the ranks that are closed and polled individually.
	ranksWatched map[ids.UpstreamIncarnation]bool
}

// closeGroup holds back requests until a rank reports that its group is open; u is the upstream whose attempt failed,
// or nil. If the service has more ranks than one group, only u is closed until the state of the others is known.
func (w *groupWatch) closeGroup(ctx context.Context, u *catalog.Upstream, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFailureAt = time.Now()
	if w.disabled != nil && w.disabled(mechanismClosedGroups) {
		return
	}
	switch {
	case u != nil && w.exceedsOneGroup():
		w.closeRank(ctx, u, reason)
	case !w.watching:
		w.watching = true
		w.gate.SetClosed(true)
		_ = level.Info(w.logger).Log("msg", "group closed to requests", "reason", reason)
		go w.watch(ctx, reason)
	}
}

// survey starts to watch the group after one of its ranks has reported that it is broken. This closes the gate unless
// another rank reports an open group.
func (w *groupWatch) survey(ctx context.Context, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.watching {
		w.watching = true
		go w.watch(ctx, reason)
	}
}

// watch keeps the gate closed until a rank reports that its group is open. If there are other groups, it then closes
// the ranks of broken groups individually.
func (w *groupWatch) watch(ctx context.Context, reason string) {
	began := time.Now()
	for !w.tryOpen(ctx, w.readRanks(ctx), reason) {
		w.gate.SetClosed(true)
		monotonic.Sleep(ctx, watchInterval)
	}
	_ = level.Info(w.logger).Log("msg", "group open to requests", "closed_for", reason, "took_ms", time.Since(began).Milliseconds())
}

// tryOpen opens the gate and ends the watch if the ranks' states permit it. Both happen under one lock: a closeGroup in
// between would close the gate and start its own watch, and this watch would then open the gate again.
func (w *groupWatch) tryOpen(ctx context.Context, states map[*catalog.Upstream]groupState, reason string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	best := groupUnknown
	for _, state := range states {
		best = max(best, state)
	}
	if !best.mayOpen(time.Since(w.lastFailureAt)) && ctx.Err() == nil {
		return false
	}
	w.watching = false
	w.gate.SetClosed(false)
	for u, state := range states {
		if state == groupBroken && w.exceedsOneGroup() {
			w.closeRank(ctx, u, reason)
		}
	}
	return true
}

type groupState int

const (
	groupUnknown groupState = iota
	groupBroken
	groupStaleOpen
	groupOpen
)

// mayOpen reports whether requests may be sent again; since is the time since the last failure.
func (s groupState) mayOpen(since time.Duration) bool {
	switch s {
	case groupOpen:
		return true
	case groupStaleOpen:
		return since > staleReportPeriod
	case groupUnknown:
		return since > unknownGroupTimeout
	}
	return false
}

// readRanks polls a random selection of ranks; a rank that does not respond is groupUnknown.
func (w *groupWatch) readRanks(ctx context.Context) map[*catalog.Upstream]groupState {
	list := append([]*catalog.Upstream(nil), w.upstreams()...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(w.maxReads(), len(list))]
	states := make([]groupState, len(list))
	var wait sync.WaitGroup
	for i, u := range list {
		wait.Go(func() { states[i] = w.readRank(ctx, u) })
	}
	wait.Wait()
	byUpstream := make(map[*catalog.Upstream]groupState, len(list))
	for i, u := range list {
		byUpstream[u] = states[i]
	}
	return byUpstream
}

func (w *groupWatch) maxReads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.exceedsOneGroup() {
		return maxSurveyReads
	}
	return maxWatchReads
}

// readyRanks counts the upstreams that accept requests. While all ranks of a group are being replaced, the registry
// lists the old ones as well.
func (w *groupWatch) readyRanks() int {
	n := 0
	for _, u := range w.upstreams() {
		if u.State == catalog.StateReady {
			n++
		}
	}
	return n
}

// exceedsOneGroup reports whether the service has more ranks than one group: several groups, or spare ranks that refuse
// all requests. The state of one rank then indicates nothing about the others.
func (w *groupWatch) exceedsOneGroup() bool { return w.groupSize > 0 && w.readyRanks() > w.groupSize }

func (w *groupWatch) readRank(ctx context.Context, u *catalog.Upstream) groupState {
	r, err := w.ranks.Report(ctx, u)
	if err != nil {
		return groupUnknown
	}
	w.mu.Lock()
	w.groupSize = r.Size
	w.mu.Unlock()
	switch {
	case !r.Open:
		return groupBroken
	case r.Fresh:
		return groupOpen
	}
	return groupStaleOpen
}

// reportGroupFailure closes the group if an attempt failed in a way that indicates a broken group: it was refused, or
// its response was truncated, other than by this gateway.
func (n *run) reportGroupFailure(u *catalog.Upstream, err error, begun bool) {
	var refused *RefusedError
	var broken *httpclient.BrokenError
	var unfinished *UnfinishedBodyError
	switch {
	case n.service.group == nil || err == nil || errors.As(err, &unfinished):
	case errors.As(err, &refused) && refused.concernsGroup():
		n.service.group.closeGroup(n.g.ctx, u, "refused")
	case errors.As(err, &broken) && begun:
		n.service.group.closeGroup(n.g.ctx, u, "cut off")
	}
}
