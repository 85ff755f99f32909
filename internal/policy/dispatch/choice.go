package dispatch

import "time"

// Sharing describes the gateways that place requests at the same upstreams.
type Sharing struct {
	// Gateways is the number of gateways, including this one; 0 and 1 both mean that there are no others.
	Gateways int
	// Interval is the time between two work reports of another gateway.
	Interval time.Duration
}

// minChoices is the minimum number of upstreams that a placement compares: two random choices spread requests far
// better than one.
const minChoices = 2

// choices returns how many randomly chosen upstreams a placement compares, out of n that can take the request.
//
// If many gateways place requests by the same outdated reports, they all choose the same upstream, and requests queue
// there while other slots are free. So the number of upstreams that a placement compares is n divided by one plus the
// number of unreported placements, but at least minChoices. If no other gateway places requests, it compares all of
// them.
func (p *Pool) choices(n int, now time.Time) int {
	unreported := p.unreported(now)
	if unreported <= 0 || p.opts.Disabled[FewChoices] {
		return n
	}
	return min(n, max(minChoices, int(float64(n)/(1+unreported))))
}

// unreported estimates the number of placements by other gateways that this gateway has no report of. It assumes that
// clients spread their requests evenly over all gateways.
//
// After a group has re-formed, all gateways place their waiting requests at the same time. The rate of the last seconds
// does not show this; the number of placements that this gateway made since the last report does.
func (p *Pool) unreported(now time.Time) float64 {
	p.placed.roll(now)
	p.placedSinceReport.roll(now)
	perGateway := max(p.placed.perSecond()*p.sharing.Interval.Seconds(), float64(p.placedSinceReport.events()))
	return perGateway * float64(p.sharing.Gateways-1)
}

// recordPlacement counts a placement.
func (p *Pool) recordPlacement(now time.Time) {
	p.placed.count(now)
	p.placedSinceReport.count(now)
}

// beyondShare reports whether this gateway must not place requests for now: few slots seem to be free, and they are
// left to gateways that use less than their share of all slots.
//
// Near the limit, several gateways see the same slot as free. The request that comes second then waits in the
// upstream's queue, where the gateway can no longer move or refuse it.
func (p *Pool) beyondShare(now time.Time) bool {
	if p.sharing.Gateways < 2 || p.opts.Disabled[SlotShare] {
		return false
	}
	free, slots, own := 0.0, 0.0, 0.0
	fill := p.opts.Fill
	for _, c := range p.order {
		if !c.usable(now) || !p.permits(c, now) {
			continue
		}
		if c.cold != nil && c.hasFreeSlot(fill) {
			return false // this gateway's part of the rate is nobody else's
		}
		most := c.maxRequests(fill)
		slots += most
		own += float64(c.own.Requests)
		free += max(0, most-float64(c.own.Requests+c.others.Requests))
	}
	return free < p.unreported(now) && own >= slots/float64(p.sharing.Gateways)
}

// leastLoaded returns the least loaded of n randomly chosen upstreams. It reorders its argument.
func (p *Pool) leastLoaded(candidates []*upstreamState, n int) *upstreamState {
	var best *upstreamState
	least := 0.0
	for i := range n {
		if n < len(candidates) {
			j := i + p.rng.IntN(len(candidates)-i)
			candidates[i], candidates[j] = candidates[j], candidates[i]
		}
		score := p.load(candidates[i]) + tieBreak*p.rng.Float64()
		if best == nil || score < least {
			best, least = candidates[i], score
		}
	}
	return best
}
