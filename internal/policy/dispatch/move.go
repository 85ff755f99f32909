package dispatch

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// moveOverfill is how many requests that are moved away from a slow upstream may be placed at another one beyond its limit. Engines queue
// a few requests beyond their slots.
const moveOverfill = 2

// TryPlace places a request that need not be placed, and reports whether it did. It takes no place for which others wait.
func (p *Pool) TryPlace(r Request, now time.Time) (*Ticket, bool) {
	t := &Ticket{request: r}
	if len(p.waiting) > 0 || !p.place(t, now) {
		return nil, false
	}
	return t, true
}

// PlaceAt places a request at an upstream, whether it has a free slot or not; false if it takes no requests.
func (p *Pool) PlaceAt(r Request, i ids.UpstreamIncarnation, now time.Time) (*Ticket, bool) {
	u := p.upstreams[i]
	if u == nil || !u.acceptsRequests() || !p.permits(u, now) {
		return nil, false
	}
	t := &Ticket{request: r}
	p.assign(t, u, 1, now)
	return t, true
}

// PlaceMoved places a request that leaves a slow upstream, and reports whether an upstream that is not slow has a place. It goes ahead of those
// that wait: as long as one request is at the slow rank of a group, none of the others is served faster.
func (p *Pool) PlaceMoved(r Request, now time.Time) (*Ticket, bool) {
	candidates := p.candidatesForMoved(r, now)
	if len(candidates) == 0 {
		return nil, false
	}
	t := &Ticket{request: r}
	p.assign(t, p.leastLoaded(candidates, len(candidates)), len(candidates), now)
	return t, true
}

// candidatesForMoved returns the upstreams that have a place for a request that leaves a slow one. The result is valid until the next call.
func (p *Pool) candidatesForMoved(r Request, now time.Time) []*upstreamState {
	p.scratch = p.scratch[:0]
	if p.closed {
		return nil
	}
	for _, u := range p.order {
		if u.usable(now) && p.permits(u, now) && u.slowdown <= 1 && !r.excludes(u.listed) && u.hasPlaceForMoved(p.opts.Fill) {
			p.scratch = append(p.scratch, u)
		}
	}
	return p.scratch
}

// hasPlaceForMoved reports whether the upstream may get another request that is moved away from a slow one.
func (u *upstreamState) hasPlaceForMoved(fill float64) bool {
	return float64(u.own.Requests+u.others.Requests) < u.maxRequests(fill)+moveOverfill
}

// TryPlace places a request that need not be placed, and reports whether it did.
func (g *Gate) TryPlace(r Request) (*Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.TryPlace(r, time.Now())
}

// PlaceMoved places a request that leaves a slow upstream, and reports whether an upstream that is not slow has a place.
func (g *Gate) PlaceMoved(r Request) (*Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.PlaceMoved(r, time.Now())
}

// HasPlaceForMoved reports whether an upstream that is not slow has a place for a request that leaves a slow one.
func (g *Gate) HasPlaceForMoved(r Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pool.candidatesForMoved(r, time.Now())) > 0
}

// PlaceAt places a request at an upstream, whether it has a free slot or not; false if it takes no requests.
func (g *Gate) PlaceAt(r Request, i ids.UpstreamIncarnation) (*Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.PlaceAt(r, i, time.Now())
}
