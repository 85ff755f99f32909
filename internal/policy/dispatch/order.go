package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// sortWaiting sorts requests by priority. Within a priority, those that can still meet their target come first, by
// target; the late ones follow, oldest target first. Under overload this serves as many requests as possible on time,
// whereas serving them in order of arrival would make all of them late. Classes and fair shares of accounts change the order.
func (p *Pool) sortWaiting(now time.Time) { p.sortTickets(p.waiting, now) }

func (p *Pool) sortTickets(list []*Ticket, now time.Time) {
	slices.SortStableFunc(list, func(a, b *Ticket) int { return p.compare(a.request, b.request, now) })
	if p.fair() {
		p.interleaveAccounts(list, now)
	}
	p.advanceEntitled(list)
}

// compare is negative if a goes ahead of b.
func (p *Pool) compare(a, b Request, now time.Time) int {
	return cmp.Or(p.compareUrgency(a, b, now), a.Target.Compare(b.Target))
}

// compareUrgency is compare without the targets.
func (p *Pool) compareUrgency(a, b Request, now time.Time) int {
	if p.classed() {
		return p.compareByClass(a, b, now)
	}
	return cmp.Or(a.Priority-b.Priority, p.compareLateness(a, b, now))
}

// compareLateness is negative if a can still meet its target and b cannot.
func (p *Pool) compareLateness(a, b Request, now time.Time) int {
	aLate, bLate := p.late(a, now), p.late(b, now)
	switch {
	case aLate == bLate:
		return 0
	case aLate:
		return 1
	}
	return -1
}

// compareByClass puts requests that can still meet their target before late ones, across all classes; then it compares by priority
// and by class. In every class, a late response is worth a fraction of one in time, so a late request of an urgent class must not
// make one of another class late.
func (p *Pool) compareByClass(a, b Request, now time.Time) int {
	return cmp.Or(p.compareLateness(a, b, now), a.Priority-b.Priority, a.Class-b.Class)
}
