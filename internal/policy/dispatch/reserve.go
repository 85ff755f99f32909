package dispatch

import "time"

const (
	// maxReserve bounds the reserve, as a fraction of all slots.
	maxReserve = 0.2
	// maxReserveAge bounds the age of the other gateways' reports for which slots are reserved.
	maxReserveAge = time.Second
)

// reserved reports whether the free slots are reserved for more urgent requests (trunk reservation).
//
// Each gateway sees the last free slots and may take them for its own requests. The slots that more urgent classes are
// expected to take at all gateways until the next reports are therefore left free by the others. A late request leaves the
// slots of all classes free.
func (p *Pool) reserved(r Request, now time.Time) bool {
	if !p.classed() || p.entitled(r.Class) {
		return false
	}
	reserve, free := p.reserve(r, now)
	return reserve > 0 && free <= reserve
}

// reserve returns the number of slots that r leaves to more urgent requests, and that of free slots.
func (p *Pool) reserve(r Request, now time.Time) (reserve, free float64) {
	expected := p.expectedStarts(r, now)
	if expected == 0 {
		return 0, 0
	}
	free, slots := p.freeSlots(p.opts.Fill, now)
	return min(expected, maxReserve*slots), free
}

// expectedStarts estimates how many requests that go ahead of r all gateways together start until they know of each other's
// placements. It assumes that callers spread their requests evenly over the gateways. The older the reports are, the larger it
// is.
func (p *Pool) expectedStarts(r Request, now time.Time) float64 {
	perSecond := 0.0
	late := p.late(r, now)
	for _, class := range p.opts.Classes {
		if class < r.Class || late {
			perSecond += p.arrivalRate(class, now)
		}
	}
	period := p.sharing.Interval
	if !p.othersAt.IsZero() {
		period = max(period, min(maxReserveAge, now.Sub(p.othersAt)))
	}
	return perSecond * period.Seconds() * float64(max(1, p.sharing.Gateways))
}

// freeSlots returns the number of slots that seem free and that of all slots, of the upstreams that take requests.
func (p *Pool) freeSlots(fill float64, now time.Time) (free, slots float64) {
	for _, c := range p.order {
		if !c.usable(now) || !p.permits(c, now) {
			continue
		}
		most := c.maxRequests(fill)
		slots += most
		free += max(0, most-float64(c.own.Requests+c.others.Requests))
	}
	return free, slots
}
