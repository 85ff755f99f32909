package gateway

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/coldstart"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// maxColdLogs is how many lines about cold upstreams are logged per second; all of a data centre may return together.
	maxColdLogs = 50
	// maxColdRemaining bounds what a peer says; a longer time indicates an error.
	maxColdRemaining = 10 * time.Minute
	// minViewInterval is the least time between two views of the members, half a tick: changes of the tables also update the
	// limits, and may come many times a second.
	minViewInterval = tickInterval / 2
)

// coldLimits holds what this gateway knows about cold upstreams, and what it may send to them. The book is safe for
// concurrent use; the other fields belong to the control loop.
type coldLimits struct {
	logger log.Logger

	mu   sync.Mutex
	book *coldstart.Book
	// unresponsive is Book.Unresponsive as of the last change, so that other responses need no lock.
	unresponsive atomic.Int64
	// status is read by metrics.
	status map[ids.Service]coldStatus

	roster   *coldstart.Roster
	view     coldstart.View
	viewedAt time.Time
	// read is the list of upstreams whose entries have been recorded, with the configuration and the bound of that time.
	read   *catalog.Upstreams
	config *catalog.Configuration
	bound  ColdBound
	// turned holds the upstreams that are known as cold, by incarnation.
	turned map[ids.UpstreamIncarnation]coldUpstream
	// shown is what the gates were told last.
	shown map[ids.Service]dispatch.ColdAllowances
}

// coldUpstream is an upstream that was cold at the last tick.
type coldUpstream struct {
	service ids.Service
	hash    uint32
	part    coldstart.Part
}

// coldStatus describes the cold upstreams of a service: their number, and this gateway's part of the rate of all of them.
type coldStatus struct {
	upstreams int
	perSecond float64
}

func newColdLimits(logger log.Logger, now time.Time) *coldLimits {
	return &coldLimits{
		logger: logging.NewRateLimited(level.Info(logger), maxColdLogs, time.Now),
		book:   coldstart.NewBook(now), status: map[ids.Service]coldStatus{},
		turned: map[ids.UpstreamIncarnation]coldUpstream{}, shown: map[ids.Service]dispatch.ColdAllowances{},
	}
}

// coldActive reports whether the rate of requests to cold upstreams is limited.
func (g *Gateway) coldActive() bool {
	return g.Settings().Bounds.Cold != nil && !g.disabled(mechanismColdLimits)
}

// coldService returns the service of an upstream if it limits the requests to cold upstreams; nil otherwise.
func coldService(config *catalog.Configuration, name ids.Service) *catalog.Service {
	if config == nil {
		return nil
	}
	if s := config.Services[name]; s != nil && s.ColdPerSecond > 0 {
		return s
	}
	return nil
}

// recordCold records what a response says about the start of the upstream that sent it; u is nil if that is not known. sentAt
// is when the request was sent.
//
// Only a signed success ends a cold period: another response may not be the upstream's own.
func (g *Gateway) recordCold(u *catalog.Upstream, status int, info ResponseInfo, sentAt time.Time) {
	c := info.Cold
	silent := !c.Stated && !c.Malformed
	if u == nil || !g.coldActive() || silent && g.cold.unresponsive.Load() == 0 {
		return
	}
	s := coldService(g.view.Load().config, u.Service)
	if s == nil {
		return
	}
	remaining := c.Remaining
	if c.Malformed {
		_ = g.cold.logger.Log("msg", "cold period cannot be read", "upstream", u.Incarnation(), "service", u.Service, "source", coldstart.SourceResponse)
		remaining = max(remaining, s.ColdStart)
	}
	if remaining == 0 && (status/100 != 2 || !info.Signed) {
		return
	}
	g.cold.change(func(b *coldstart.Book) {
		if silent {
			b.Reached(shortHashOf(u.Incarnation()), s.ColdStart, sentAt, time.Now())
			return
		}
		b.Response(shortHashOf(u.Incarnation()), remaining, sentAt, time.Now())
	})
}

// recordRefusedConnection records that an upstream refused the connection of an attempt that was placed at the given time.
//
// Another failure to connect is no sign of a restart: a gateway with a bad link would hold back all upstreams.
func (g *Gateway) recordRefusedConnection(u *catalog.Upstream, err error, placedAt time.Time) {
	var dial *httpclient.DialError
	if !errors.As(err, &dial) || !errors.Is(dial, syscall.ECONNREFUSED) || !g.coldActive() {
		return
	}
	s := coldService(g.view.Load().config, u.Service)
	if s == nil {
		return
	}
	g.cold.change(func(b *coldstart.Book) {
		b.Unreached(shortHashOf(u.Incarnation()), s.ColdStart, placedAt, time.Now())
	})
}

// change changes the book.
func (c *coldLimits) change(f func(*coldstart.Book)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c.book)
	c.unresponsive.Store(int64(c.book.Unresponsive()))
}

// merge records the statements in a peer's digest.
func (c *coldLimits) merge(columns *cardamomyokev1.ColdColumns, now time.Time) {
	n := min(len(columns.GetUpstreams()), len(columns.GetRemainingMs()), len(columns.GetAgeMs()))
	if n == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range n {
		remaining := min(maxColdRemaining, time.Duration(columns.GetRemainingMs()[i])*time.Millisecond)
		age := time.Duration(columns.GetAgeMs()[i]) * time.Millisecond
		c.book.Peer(columns.GetUpstreams()[i], remaining, age, now)
	}
}

// news returns the statements to include in a digest to a number of targets; nil if there are none.
func (c *coldLimits) news(targets int, now time.Time) *cardamomyokev1.ColdColumns {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.book.TakeNews(targets, now)
	if len(list) == 0 {
		return nil
	}
	columns := &cardamomyokev1.ColdColumns{}
	for _, s := range list {
		columns.Upstreams = append(columns.Upstreams, s.Upstream)
		columns.RemainingMs = append(columns.RemainingMs, uint32(s.Remaining.Milliseconds()))
		columns.AgeMs = append(columns.AgeMs, uint32(max(0, s.Age.Milliseconds())))
	}
	return columns
}

// updateCold passes the parts of cold upstreams' rates to the services' gates. It runs on the control loop.
func (g *Gateway) updateCold(now time.Time) {
	c := g.cold
	if !g.coldActive() {
		c.roster, c.read = nil, nil
		c.publish(g, nil, now)
		return
	}
	if c.roster == nil {
		c.roster, c.viewedAt = coldstart.NewRoster(g.Settings().Listen.Peers, g.Settings().Peers, now), time.Time{}
	}
	view := c.view
	if now.Sub(c.viewedAt) >= minViewInterval {
		g.peers.observeMembers(c.roster)
		timing := coldstart.TimingFor(messageInterval(c.roster.Known()))
		c.roster.Tick(now, timing)
		view, c.viewedAt = c.roster.View(now, timing), now
	}
	same := view.Majority == c.view.Majority && view.BlockedUntil.Equal(c.view.BlockedUntil) && view.Members.Equal(c.view.Members)
	if c.config != g.control.config {
		c.read = nil // entries of services that limit the requests only now have not been recorded
	}
	same = same && c.config == g.control.config && c.bound == *g.Settings().Bounds.Cold
	c.view, c.config, c.bound = view, g.control.config, *g.Settings().Bounds.Cold
	c.readEntries(g.control.config, g.control.upstreams, now)
	c.publish(g, c.findCold(g, same, now), now)
}

// readEntries records the registry entries that are new since the last call.
func (c *coldLimits) readEntries(config *catalog.Configuration, list *catalog.Upstreams, now time.Time) {
	if list == c.read || config == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range list.All() {
		s := coldService(config, u.Service)
		if s == nil {
			continue
		}
		if c.read != nil {
			if old := c.read.Get(u.ID); old != nil && old.Written == u.Written && old.StartedAtMS == u.StartedAtMS {
				continue
			}
		}
		entry := coldstart.Entry{Position: u.Written, Remaining: u.ColdRemaining, Stated: u.ColdStated}
		c.book.Entry(shortHashOf(u.Incarnation()), entry, s.ColdStart, now)
	}
	c.read = list
	c.book.Expire(now)
}

// findCold returns the cold upstreams and logs those that have turned cold or warm. same is set if neither the members nor
// the bound have changed since the last call.
func (c *coldLimits) findCold(g *Gateway, same bool, now time.Time) map[ids.UpstreamIncarnation]coldUpstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[ids.UpstreamIncarnation]coldUpstream{}
	if g.control.config == nil {
		return out
	}
	for name := range g.control.config.Services {
		s := coldService(g.control.config, name)
		if s == nil {
			continue
		}
		for _, u := range g.control.upstreams.Of(name) {
			before, was := c.turned[u.Incarnation()]
			if !was {
				before = coldUpstream{service: name, hash: shortHashOf(u.Incarnation())}
			}
			state, known := c.book.Get(before.hash)
			switch {
			case known && state.Cold(now):
				if !was || !same {
					before.part = c.view.Part(before.hash, g.coldBound(s))
				}
				out[u.Incarnation()] = before
				if !was {
					c.logTurned(u, "upstream is cold", state, before.part, s.ColdPerSecond, now)
				}
			case was:
				c.logTurned(u, "upstream is warm", state, before.part, s.ColdPerSecond, now)
			}
		}
	}
	return out
}

// coldBound returns the bound of a service's cold upstreams.
func (g *Gateway) coldBound(s *catalog.Service) coldstart.Bound {
	b := g.Settings().Bounds.Cold
	return coldstart.Bound{PerSecond: s.ColdPerSecond, Overshoot: b.Overshoot, Slack: b.Slack}
}

func (c *coldLimits) logTurned(u *catalog.Upstream, msg string, s coldstart.State, part coldstart.Part, perSecond float64, now time.Time) {
	_ = c.logger.Log("msg", msg, "upstream", u.Incarnation(), "service", u.Service, "source", s.Source, "age_ms", ageOf(s.ReadAt, now),
		"left_ms", max(0, s.Until.Sub(now).Milliseconds()), "per_second", perSecond, "own_part_per_second", part.PerSecond, "owners", part.Owners,
		"heard", c.view.Heard, "known", c.view.Known, "majority", c.view.Majority, "blocked_ms", max(0, c.view.BlockedUntil.Sub(now).Milliseconds()))
}

// publish passes the parts of cold upstreams to the gates: as a whole if they have changed, and otherwise only for how long
// they count.
func (c *coldLimits) publish(g *Gateway, cold map[ids.UpstreamIncarnation]coldUpstream, now time.Time) {
	if len(cold) == 0 && len(c.turned) == 0 && len(c.shown) == 0 {
		return
	}
	status := map[ids.Service]coldStatus{}
	next := map[ids.Service]dispatch.ColdAllowances{}
	for i, u := range cold {
		a, ok := next[u.service]
		if !ok {
			a = dispatch.ColdAllowances{Upstreams: map[ids.UpstreamIncarnation]dispatch.ColdAllowance{}, From: c.view.BlockedUntil, ValidUntil: now.Add(coldstart.ValidFor)}
			next[u.service] = a
		}
		a.Upstreams[i] = dispatch.ColdAllowance{Limit: g.control.config.Services[u.service].ColdPerSecond, PerSecond: u.part.PerSecond, Burst: u.part.Burst}
		status[u.service] = coldStatus{status[u.service].upstreams + 1, status[u.service].perSecond + u.part.PerSecond}
	}
	for name, s := range g.control.services {
		if len(next[name].Upstreams) > 0 || len(c.shown[name].Upstreams) > 0 {
			s.gate.SetCold(next[name])
		}
	}
	c.turned, c.shown = cold, next
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
}

// of returns the cold upstreams of a service, for metrics.
func (c *coldLimits) of(name ids.Service) coldStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status[name]
}

// messageInterval returns the time between two digests of a peer that has no requests, among a number of gateways.
func messageInterval(gateways int) time.Duration {
	return max(digestInterval, digestInterval*time.Duration(gateways)/maxDigestTargets)
}

// observeMembers records which gateways were heard, and which ones others have listed.
func (p *peers) observeMembers(r *coldstart.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, at := range p.hints {
		r.Listed(a, at)
	}
	for _, k := range p.byName {
		r.Heard(string(k.address()), k.lastSeen)
	}
}
