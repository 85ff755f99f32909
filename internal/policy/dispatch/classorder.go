package dispatch

import (
	"slices"
	"time"
)

// sortByClass sorts requests that can still meet their target before late ones, across all classes; then by priority, then by
// target. In every class, a late response is worth a fraction of one in time, so a late request of an urgent class must not
// make one of another class late.
func (p *Pool) sortByClass(now time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *Ticket) int { return p.compareByClass(a.request, b.request, now) })
}

// compareByClass is negative if a goes ahead of b.
func (p *Pool) compareByClass(a, b Request, now time.Time) int {
	aLate, bLate := p.late(a, now), p.late(b, now)
	switch {
	case aLate != bLate && aLate:
		return 1
	case aLate != bLate:
		return -1
	case a.Priority != b.Priority:
		return a.Priority - b.Priority
	case a.Class != b.Class:
		return a.Class - b.Class
	}
	return a.Target.Compare(b.Target)
}
