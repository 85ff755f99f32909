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
	if p.closed {
		return nil, false
	}
	p.scratch = p.scratch[:0]
	for _, u := range p.order {
		if u.usable(now) && p.permits(u, now) && u.slowdown <= 1 && !r.excludes(u.listed) && u.hasPlaceForMoved(p.opts.Fill) {
			p.scratch = append(p.scratch, u)
		}
	}
	if len(p.scratch) == 0 {
		return nil, false
	}
	t := &Ticket{request: r}
	p.assign(t, p.leastLoaded(p.scratch, len(p.scratch)), len(p.scratch), now)
	return t, true
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

// PlaceAt places a request at an upstream, whether it has a free slot or not; false if it takes no requests.
func (g *Gate) PlaceAt(r Request, i ids.UpstreamIncarnation) (*Ticket, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.PlaceAt(r, i, time.Now())
}
