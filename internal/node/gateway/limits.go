package gateway

import (
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/ratelimit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// maxJoinLimits is how many limits a gateway that has just started gets; more would not fit a datagram.
const maxJoinLimits = 64

// limits holds the request limits that upstreams state, and the members that divide them. It is safe for concurrent
// use.
type limits struct {
	mu      sync.Mutex
	book    *ratelimit.Book
	members ratelimit.Members
	// stale is set while the allowances in the gates may differ from those that follow from book and members.
	stale bool
}

func newLimits() *limits { return &limits{book: ratelimit.NewBook()} }

// recordLimit records and logs what a response says about the request limit of the upstream that sent it; u is nil if
// that is not known. sentAt is when the request was sent.
//
// Only a signed success without a limit shows that there is none: a refusal need not name it, and another response may
// not be the upstream's own.
func (g *Gateway) recordLimit(u *catalog.Upstream, status int, info ResponseInfo, sentAt time.Time) {
	if u == nil {
		return
	}
	l := info.RequestLimit
	if l.Malformed {
		_ = g.requests.failures.Log("msg", "request limit cannot be read", "upstream", u.Incarnation(), "service", u.Service)
	}
	perSecond := float64(ratelimit.NoLimit)
	switch {
	case l.Stated:
		perSecond = float64(float32(l.PerSecond)) // as digests carry it
		g.metrics.limitStated(u.Service)
	case l.Malformed || status/100 != 2 || !info.Signed || g.limits.empty():
		return
	}
	now := time.Now()
	s := ratelimit.Statement{Upstream: shortHashOf(u.Incarnation()), PerSecond: perSecond, At: now}
	before, changed := g.limits.observe(s, sentAt)
	if !changed {
		return
	}
	_ = g.requests.failures.Log("msg", "upstream request limit", "upstream", u.Incarnation(), "service", u.Service, "stated", l.Stated,
		"per_second", perSecond, "before", before.PerSecond, "before_age_ms", ageOf(before.At, now))
}

// observe records a statement in a response to this gateway. It returns the previous one and whether the limit changed.
func (l *limits) observe(s ratelimit.Statement, sentAt time.Time) (before ratelimit.Statement, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.book.Get(s.Upstream)
	if !known {
		before.PerSecond = ratelimit.NoLimit
	}
	changed = l.book.Observe(s, sentAt)
	l.stale = l.stale || changed
	return before, changed
}

// merge records the limits in a peer's digest.
func (l *limits) merge(columns *cardamomyokev1.LimitColumns, now time.Time) {
	if len(columns.GetUpstreams()) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]ratelimit.Statement, len(columns.GetUpstreams()))
	for i, u := range columns.GetUpstreams() {
		age := time.Duration(columns.GetAgeMs()[i]) * time.Millisecond
		list[i] = ratelimit.Statement{Upstream: u, PerSecond: float64(columns.GetPerSecond()[i]), At: now.Add(-age)}
	}
	l.stale = l.book.Merge(list, now) || l.stale
}

// news returns the limits to include in a digest to a number of targets; nil if there are none.
func (l *limits) news(targets int, now time.Time) *cardamomyokev1.LimitColumns {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limitColumns(l.book.News(targets, now), now)
}

// newest returns the limits for a gateway that has just started; nil if there are none.
func (l *limits) newest(now time.Time) *cardamomyokev1.LimitColumns {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limitColumns(l.book.Newest(maxJoinLimits), now)
}

func limitColumns(list []ratelimit.Statement, now time.Time) *cardamomyokev1.LimitColumns {
	if len(list) == 0 {
		return nil
	}
	columns := &cardamomyokev1.LimitColumns{}
	for _, s := range list {
		columns.Upstreams = append(columns.Upstreams, s.Upstream)
		columns.PerSecond = append(columns.PerSecond, float32(s.PerSecond))
		columns.AgeMs = append(columns.AgeMs, uint32(max(0, now.Sub(s.At).Milliseconds())))
	}
	return columns
}

// perSecond returns the limit of an upstream, or ratelimit.NoLimit if there is none.
func (l *limits) perSecond(u ids.UpstreamIncarnation) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.book.Len() > 0 {
		if limit, ok := l.book.Limit(shortHashOf(u)); ok {
			return limit
		}
	}
	return ratelimit.NoLimit
}

// invalidate makes the next call of refresh report a change.
func (l *limits) invalidate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = true
}

// empty reports whether nothing is known about any upstream's limit.
func (l *limits) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Len() == 0
}

// idle reports whether there are no limits and nothing has changed.
func (l *limits) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Len() == 0 && !l.stale
}

// refresh replaces the members, and reports whether the allowances may have changed since the last call.
func (l *limits) refresh(m ratelimit.Members, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.book.Expire(now) || l.stale || !m.Equal(l.members)
	l.members, l.stale = m, false
	return changed
}

// allowances returns this gateway's parts of the limits of a service's upstreams.
func (l *limits) allowances(upstreams []*catalog.Upstream) map[ids.UpstreamIncarnation]dispatch.Allowance {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[ids.UpstreamIncarnation]dispatch.Allowance{}
	if l.book.Len() == 0 {
		return out
	}
	for _, u := range upstreams {
		hash := shortHashOf(u.Incarnation())
		if limit, ok := l.book.Limit(hash); ok {
			out[u.Incarnation()] = dispatch.Allowance{Limit: limit, Share: l.members.Share(hash, limit)}
		}
	}
	return out
}

// updateAllowances passes the parts of limits to the services' gates if they have changed. It runs on the control loop.
func (g *Gateway) updateAllowances(now time.Time) {
	if g.limits.idle() {
		return
	}
	var names []string
	if !g.peers.joining(now) {
		// Many gateways that have just started and know of no others would each take the whole limit for their own.
		names = g.peers.readyNames(now)
	}
	members := ratelimit.NewMembers(g.Settings().Name, names)
	if !g.limits.refresh(members, now) {
		return
	}
	for name, s := range g.control.services {
		s.gate.SetAllowances(g.limits.allowances(g.control.upstreams.Of(name)))
	}
}
