package dispatch

import "time"

// Sharing is what is known of the gateways that place requests at the same upstreams.
type Sharing struct {
	// Gateways counts them, this one among them; 0 and 1 both stand for none beside it.
	Gateways int
	// Interval is the time between two tellings of one of the others.
	Interval time.Duration
}

// minChoices is how many upstreams a placement compares at least: two drawn at random spread requests far better than one.
const minChoices = 2

// choices is how many of the upstreams a placement compares, drawn at random.
//
// Many gateways that place by the same old news all choose the same upstream, and requests wait there beside free slots. So a
// placement compares as many upstreams as there are for each placement that was not heard of yet, at least two, and all of
// them if no other gateway places.
func (p *Pool) choices(able int, now time.Time) int {
	unheard := p.unheard(now)
	if unheard <= 0 || p.opts.Off[FewChoices] {
		return able
	}
	return min(able, max(minChoices, int(float64(able)/(1+unheard))))
}

// unheard is how many placements of others this gateway has not heard of, on average: callers go to all gateways alike.
//
// When a group has formed again all gateways place at once what has waited. The rate of the last seconds does not tell of it;
// what this gateway has placed since the last telling does.
func (p *Pool) unheard(now time.Time) float64 {
	p.placed.roll(now)
	p.lately.roll(now)
	each := max(p.placed.perSecond()*p.sharing.Interval.Seconds(), float64(p.lately.events()))
	return each * float64(p.sharing.Gateways-1)
}

// notePlaced counts a placement.
func (p *Pool) notePlaced(now time.Time) {
	p.placed.count(now)
	p.lately.count(now)
}

// beyondShare reports whether this gateway must leave the few slots that seem to be free to others: those with less than
// their part of all slots in use.
//
// Near the limit a slot that one gateway takes for free is taken for free by others as well, and who is late waits in the
// upstream's queue, where nothing can be done for the request.
func (p *Pool) beyondShare(now time.Time) bool {
	if p.sharing.Gateways < 2 || p.opts.Off[SlotShare] {
		return false
	}
	free, slots, own := 0.0, 0.0, 0.0
	for _, c := range p.order {
		if !c.usable(now) {
			continue
		}
		limit := c.limit(p.opts.Fill)
		slots += limit
		own += float64(c.own.Requests)
		free += max(0, limit-float64(c.own.Requests+c.others.Requests))
	}
	return free < p.unheard(now) && own >= slots/float64(p.sharing.Gateways)
}

// leastLoaded returns the least loaded of n of the targets, drawn at random. It changes their order.
func (p *Pool) leastLoaded(able []*target, n int) *target {
	var best *target
	least := 0.0
	for i := range n {
		if n < len(able) {
			j := i + p.rng.IntN(len(able)-i)
			able[i], able[j] = able[j], able[i]
		}
		score := p.load(able[i]) + tieBreak*p.rng.Float64()
		if best == nil || score < least {
			best, least = able[i], score
		}
	}
	return best
}
