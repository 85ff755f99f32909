package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Gate is a Pool for the goroutines of requests. It is safe for concurrent use.
type Gate struct {
	mu   sync.Mutex
	pool *Pool
}

// NewGate wraps a pool, which must not be used otherwise.
func NewGate(p *Pool) *Gate { return &Gate{pool: p} }

// Wait offers a request and waits until it is placed. Errors: *NoUpstreamError, *OverloadedError, or ctx's.
func (g *Gate) Wait(ctx context.Context, r Request) (*Ticket, error) {
	g.mu.Lock()
	t := g.pool.Submit(r, time.Now())
	if t.state != waiting {
		g.mu.Unlock()
		return t, t.err
	}
	t.decided = make(chan struct{})
	g.mu.Unlock()
	select {
	case <-t.decided:
		return t, t.err
	case <-ctx.Done():
		return g.abandon(ctx, t)
	}
}

// abandon withdraws a ticket, unless it was placed meanwhile; then the slot is given back.
func (g *Gate) abandon(ctx context.Context, t *Ticket) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Cancel(t)
	wake(g.pool.Done(t, OutcomeNone, time.Now()))
	return t, ctx.Err()
}

// Answered notes that the answer, or a stream's first event, is there.
func (g *Gate) Answered(t *Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.Answered(t, time.Now())
}

// Done ends a placed request.
func (g *Gate) Done(t *Ticket, o Outcome) {
	g.change(func(p *Pool, now time.Time) []*Ticket { return p.Done(t, o, now) })
}

// SetUpstreams replaces the list of upstreams.
func (g *Gate) SetUpstreams(list []*catalog.Upstream) {
	g.change(func(p *Pool, now time.Time) []*Ticket { return p.SetUpstreams(list, now) })
}

// SetOptions follows a change of the configuration.
func (g *Gate) SetOptions(o Options) {
	g.change(func(p *Pool, now time.Time) []*Ticket {
		p.SetOptions(o)
		return p.Tick(now)
	})
}

// SetClosed says whether all upstreams are known to refuse what is sent to them.
func (g *Gate) SetClosed(closed bool) {
	g.change(func(p *Pool, now time.Time) []*Ticket { return p.SetClosed(closed, now) })
}

// SetUpstreamClosed says whether one upstream is known to refuse what is sent to it.
func (g *Gate) SetUpstreamClosed(i ids.UpstreamIncarnation, closed bool) {
	g.change(func(p *Pool, now time.Time) []*Ticket { return p.SetUpstreamClosed(i, closed, now) })
}

// SetOthers replaces what the other gateways have in flight; at is when the oldest of their digests came.
func (g *Gate) SetOthers(work map[ids.UpstreamIncarnation]Work, at time.Time) {
	g.change(func(p *Pool, now time.Time) []*Ticket { return p.SetOthers(work, at, now) })
}

// SetSharing says who else places requests at the same upstreams.
func (g *Gate) SetSharing(s Sharing) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetSharing(s)
}

// SetPaces replaces what is known of upstreams that are slower than usual.
func (g *Gate) SetPaces(paces map[ids.UpstreamIncarnation]float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.SetPaces(paces)
}

// Waiting returns how many requests wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Waiting()
}

// TakeEjections returns what was ejected since the last call.
func (g *Gate) TakeEjections() []Ejection {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.TakeEjections()
}

// Own returns what this gateway has in flight at each upstream.
func (g *Gate) Own() map[ids.UpstreamIncarnation]Work {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Own()
}

func (g *Gate) change(f func(p *Pool, now time.Time) []*Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wake(f(g.pool, time.Now()))
}

func wake(settled []*Ticket) {
	for _, t := range settled {
		close(t.decided)
	}
}
