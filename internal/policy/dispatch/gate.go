package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Gate wraps a Pool for concurrent use by the goroutines of requests.
type Gate struct {
	mu   sync.Mutex
	pool *Pool
}

// NewGate wraps a pool. The caller must not use the pool directly any more.
func NewGate(p *Pool) *Gate { return &Gate{pool: p} }

// Wait submits a request and waits until it is placed. Errors: *NoRegisteredUpstreamError, *OverloadedError,
// *RestrictedError, *EvacuatedError, *StoppingError, or the error of ctx.
func (g *Gate) Wait(ctx context.Context, r Request) (*Ticket, error) {
	g.mu.Lock()
	now := time.Now()
	if g.pool.Limited() {
		// A limit may have permitted a request since the last tick, and those that wait come before this one.
		notifyDecided(g.pool.Tick(now))
	}
	t := g.pool.Submit(r, now)
	if t.state == waiting {
		t.decided = make(chan struct{})
	}
	notifyDecided(g.pool.Shed(now))
	if t.state != waiting {
		g.mu.Unlock()
		return t, t.err
	}
	g.mu.Unlock()
	select {
	case <-t.decided:
		return t, t.err
	case <-ctx.Done():
		return g.abandon(ctx, t)
	}
}

// abandon cancels a ticket. If the ticket was placed in the meantime, its slot is released.
func (g *Gate) abandon(ctx context.Context, t *Ticket) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Cancel(t)
	notifyDecided(g.pool.Done(t, OutcomeNone, time.Now()))
	return t, ctx.Err()
}

// Responded records that the response, or the first event of a stream, has arrived.
func (g *Gate) Responded(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Responded(t, time.Now())
}

// Done releases the slot of a placed request and records its outcome.
func (g *Gate) Done(t *Ticket, o Outcome) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.Done(t, o, now) })
}

// SetUpstreams replaces the list of upstreams.
func (g *Gate) SetUpstreams(list []*catalog.Upstream) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetUpstreams(list, now) })
}

// SetOptions applies a change of the configuration.
func (g *Gate) SetOptions(o Options) {
	g.update(func(p *Pool, now time.Time) []*Ticket {
		p.SetOptions(o)
		return p.Tick(now)
	})
}

// SetClosed sets whether all upstreams are known to refuse requests.
func (g *Gate) SetClosed(closed bool) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetClosed(closed, now) })
}

// SetUpstreamClosed sets whether one upstream is known to refuse requests.
func (g *Gate) SetUpstreamClosed(i ids.UpstreamIncarnation, closed bool) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetUpstreamClosed(i, closed, now) })
}

// SetAllowances replaces the allowances of limited upstreams.
func (g *Gate) SetAllowances(allowances map[ids.UpstreamIncarnation]Allowance) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetAllowances(allowances, now) })
}

// Leave keeps requests of this gateway from an upstream that has said that it will exit. It reports whether that is new.
func (g *Gate) Leave(i ids.UpstreamIncarnation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Leave(i, time.Now())
}

// Rest keeps requests of this gateway from an upstream that has asked for it.
func (g *Gate) Rest(i ids.UpstreamIncarnation, length time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Rest(i, length, time.Now())
}

// SetOthersWork replaces the work that the other gateways have in flight; at is the time at which the oldest of their
// digests arrived.
func (g *Gate) SetOthersWork(work map[ids.UpstreamIncarnation]Work, at time.Time) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetOthersWork(work, at, now) })
}

// SetOthersAccounts replaces the work that the other gateways have in flight by account.
func (g *Gate) SetOthersAccounts(work map[fairshare.Account]fairshare.Work) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetOthersAccounts(work, now) })
}

// OwnAccounts returns this gateway's work of at most n accounts, and whether requests wait.
func (g *Gate) OwnAccounts(n int) (rows []fairshare.Row, waits bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.OwnAccounts(n)
}

// SetSharing sets how many gateways place requests at the same upstreams, and how often they report.
func (g *Gate) SetSharing(s Sharing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetSharing(s)
}

// SetSlowdowns replaces the slowdown factors of upstreams that are slower than normal.
func (g *Gate) SetSlowdowns(slowdowns map[ids.UpstreamIncarnation]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetSlowdowns(slowdowns)
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Waiting()
}

// TakeEjections returns the ejections since the last call.
func (g *Gate) TakeEjections() []Ejection {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.TakeEjections()
}

// OwnWork returns the work that this gateway has in flight, by upstream.
func (g *Gate) OwnWork() map[ids.UpstreamIncarnation]Work {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.OwnWork()
}

func (g *Gate) update(f func(p *Pool, now time.Time) []*Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notifyDecided(f(g.pool, time.Now()))
}

func notifyDecided(tickets []*Ticket) {
	for _, t := range tickets {
		close(t.decided)
	}
}
