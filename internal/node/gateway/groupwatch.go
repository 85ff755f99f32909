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
	// watchInterval is how often a group is read that does not work: callers wait for it.
	watchInterval = 80 * time.Millisecond
	// staleReportPeriod is how long after a refusal a report that is not fresh may still show the group as it was before.
	staleReportPeriod = 300 * time.Millisecond
	// maxWatchReads is how many ranks are read at once, in case one of them is the one that is gone; surveyReads is the same
	// where ranks may be of several groups, or of none.
	maxWatchReads  = 3
	maxSurveyReads = 24
	// unknownGroupTimeout is how long a group whose ranks do not answer is held to be closed, before requests may try it.
	unknownGroupTimeout = 400 * time.Millisecond
)

// groupWatch finds out whether a group works, from the moment that something speaks against it, and closes the
// service's gate meanwhile.
type groupWatch struct {
	ranks  lockstep.RankClient
	gate   *dispatch.Gate
	logger log.Logger
	// upstreams returns the ranks' upstreams now.
	upstreams func() []*catalog.Upstream

	mu            sync.Mutex
	watching      bool
	lastFailureAt time.Time
	// groupSize is the number of ranks that a group takes; 0 before one was asked.
	groupSize int
	// disabled reports whether a mechanism is switched off; nil for none.
	disabled func(dispatch.Mechanism) bool
	// ranksWatched are the ranks that are watched one by one.
	ranksWatched map[ids.UpstreamIncarnation]bool
}

// closeGroup keeps requests from a group until a rank says that it is open; u is the upstream that gave reason to doubt, or nil.
// Where a service has more ranks than one group takes, only u is kept away from until it is known how the others are.
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
		go w.watch(ctx, reason)
	}
}

// survey finds out how the other ranks are once one has said that its group is broken.
func (w *groupWatch) survey(ctx context.Context, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.watching {
		w.watching = true
		go w.watch(ctx, reason)
	}
}

// watch closes the gate as long as no rank says that its group is open. Ranks whose group is broken beside one that is
// open are closed one by one.
func (w *groupWatch) watch(ctx context.Context, reason string) {
	began := time.Now()
	for !w.tryOpen(ctx, w.readRanks(ctx), reason) {
		w.gate.SetClosed(true)
		monotonic.Sleep(ctx, watchInterval)
	}
	_ = level.Info(w.logger).Log("msg", "group closed to requests", "reason", reason, "for", time.Since(began))
}

// tryOpen ends the watch and opens the gate if what the ranks said allows it. Both under one lock: a doubt that comes in
// between would close the gate, and have it opened again under its watch.
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

// mayOpen reports whether requests may be sent again, so long after the latest reason to doubt.
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

// readRanks reads some ranks; a rank that is gone says nothing.
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

// readyRanks counts the upstreams that take work: while all of a group's ranks are replaced, the old ones are listed, too.
func (w *groupWatch) readyRanks() int {
	n := 0
	for _, u := range w.upstreams() {
		if u.State == catalog.StateReady {
			n++
		}
	}
	return n
}

// exceedsOneGroup reports whether the service has more ranks than one group takes: several groups, or ranks that are left over
// and refuse all they get. What is true of one rank says nothing of another's then.
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

// reportGroupFailure has the group looked at if an attempt failed as it does at a broken group: refused, or cut off.
func (n *run) reportGroupFailure(u *catalog.Upstream, err error) {
	var refused *RefusedError
	var broken *httpclient.BrokenError
	switch {
	case n.service.group == nil || err == nil:
	case errors.As(err, &refused) && refused.Status != statusOtherInstance:
		n.service.group.closeGroup(n.g.ctx, u, "refused")
	case errors.As(err, &broken) && n.x.Responded():
		n.service.group.closeGroup(n.g.ctx, u, "cut off")
	}
}
