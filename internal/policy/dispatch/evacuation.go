package dispatch

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// EvacuatedError reports that all upstreams that would take the request are in evacuated data centres.
type EvacuatedError struct {
	// Evacuated is the number of these upstreams.
	Evacuated int
	// Waited is how long the request waited before it was refused.
	Waited     time.Duration
	RetryAfter time.Duration
}

// Error implements error.
func (e *EvacuatedError) Error() string {
	return fmt.Sprintf("all upstreams that would take the request are evacuated: %d upstreams, waited %d ms", e.Evacuated, e.Waited.Milliseconds())
}

// isInService reports whether the upstream would take new requests if its data centre were not evacuated.
func (u *upstreamState) isInService() bool {
	return u.listed.State == catalog.StateReady && !u.health.replaced && u.leavingSince.IsZero()
}

// SetEvacuated replaces the set of evacuated data centres and returns the tickets that this decides. Upstreams there finish
// their requests and get no new ones.
func (p *Pool) SetEvacuated(set *catalog.Evacuations, now time.Time) []*Ticket {
	if p.evacuated.Len() == 0 && set.Len() == 0 {
		return nil
	}
	p.evacuated = set
	for _, u := range p.upstreams {
		u.evacuated = set.Has(u.listed.DataCentre)
	}
	return p.decide(now)
}

// countEvacuated returns the number of registered upstreams in evacuated data centres.
func (p *Pool) countEvacuated() int {
	n := 0
	if p.evacuated.Len() == 0 {
		return n
	}
	for _, u := range p.order {
		if u.evacuated {
			n++
		}
	}
	return n
}

// evacuatedError returns the refusal of a request that only upstreams in evacuated data centres would take; nil if there are
// others or none at all.
//
// The end of an evacuation is unknown, so the request would wait until its deadline. Unlike an ejected or closed upstream, an
// evacuated one is not expected back within the time that callers wait.
func (p *Pool) evacuatedError(r Request, now time.Time) error {
	if p.evacuated.Len() == 0 {
		return nil
	}
	evacuated, wait := 0, maxRetry
	for _, u := range p.order {
		switch excluded := r.excludes(u.listed); {
		case !u.isInService():
		case u.evacuated && !excluded:
			evacuated++
		case !u.evacuated && !excluded:
			return nil
		case !u.evacuated:
			// Another attempt of the caller may be served there.
			wait = p.expectedWait(now)
		}
	}
	if evacuated == 0 {
		return nil
	}
	return &EvacuatedError{Evacuated: evacuated, Waited: now.Sub(r.Arrived), RetryAfter: p.retryAfter(wait)}
}

// EvacuatedWork describes the upstreams of one evacuated data centre.
type EvacuatedWork struct {
	// Upstreams is the number of registered upstreams.
	Upstreams int
	// Own is the number of requests of this gateway in flight there, and Others that which the other gateways last reported.
	Own, Others int
	// Busy lists the upstreams at which requests of this gateway are in flight, registered or not, in unspecified order.
	Busy []ids.UpstreamIncarnation
}

// EvacuatedWork returns the work in each evacuated data centre that has upstreams.
func (p *Pool) EvacuatedWork() map[ids.DataCentre]EvacuatedWork {
	if p.evacuated.Len() == 0 {
		return nil
	}
	out := map[ids.DataCentre]EvacuatedWork{}
	for i, u := range p.upstreams {
		if !u.evacuated {
			continue
		}
		w := out[u.listed.DataCentre]
		w.Own += u.own.Requests
		if u.own.Requests > 0 {
			w.Busy = append(w.Busy, i)
		}
		out[u.listed.DataCentre] = w
	}
	for _, u := range p.order {
		if u.evacuated {
			w := out[u.listed.DataCentre]
			w.Upstreams++
			w.Others += u.others.Requests
			out[u.listed.DataCentre] = w
		}
	}
	return out
}

// MoveRoom returns how many running streams this gateway may move to other upstreams now: its part of the slots that late
// requests may use, and none while requests wait.
//
// A moved stream is late by its target, so it is placed after all requests that are not. If it had to wait, its caller would
// abandon it, although the upstream that it was moved from was still serving it.
func (p *Pool) MoveRoom(now time.Time) int {
	if p.closed || len(p.waiting) > 0 || p.beyondShare(now) {
		return 0
	}
	fill := p.opts.LateFill
	if p.opts.Disabled[LateFill] {
		fill = p.opts.Fill
	}
	free := 0.0
	for _, u := range p.order {
		if u.usable(now) && p.permits(u, now) {
			free += max(0, u.maxRequests(fill)-float64(u.own.Requests+u.others.Requests))
		}
	}
	if free < 1 {
		return 0
	}
	return max(1, int(free)/max(1, p.sharing.Gateways))
}

// SetEvacuated replaces the set of evacuated data centres.
func (g *Gate) SetEvacuated(set *catalog.Evacuations) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetEvacuated(set, now) })
}

// EvacuatedWork returns the work in each evacuated data centre that has upstreams.
func (g *Gate) EvacuatedWork() map[ids.DataCentre]EvacuatedWork {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.EvacuatedWork()
}

// MoveRoom returns how many running streams may be moved to other upstreams now.
func (g *Gate) MoveRoom() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.MoveRoom(time.Now())
}
