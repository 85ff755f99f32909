package dispatch

import (
	"math"
	"time"
)

// SetFirstMap says whether the upstreams are a group that has just formed and still works with the map that it began with.
//
// Load: a group forms again after an outage, with all that came meanwhile waiting. Its first map knows nothing of the demand:
// the most loaded rank has three times the mean, so that a pass in which prompts are read takes 180 to 270 ms, where callers
// accept pauses of 120. Whatever starts then is late and fills all slots for seconds; those who ask meanwhile find none. A map
// for the demand is there within some 0.3 s, and needs a few requests to be counted.
func (p *Pool) SetFirstMap(first bool, now time.Time) []*Ticket {
	p.firstMap = first
	return p.settle(now)
}

// beyondFirst reports whether this gateway has its part of the few requests that a group gets until it has a map for the
// demand: one for each rank.
func (p *Pool) beyondFirst() bool {
	if !p.firstMap || p.opts.Off[FirstMap] {
		return false
	}
	own := 0
	for _, t := range p.order {
		own += t.own.Requests
	}
	return own >= int(math.Ceil(float64(len(p.order))/float64(max(1, p.sharing.Gateways))))
}
