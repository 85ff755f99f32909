package dispatch

import (
	"cmp"
	"time"
)

// compareByClass puts requests that can still meet their target before late ones, across all classes; then it compares by priority
// and by class. In every class, a late response is worth a fraction of one in time, so a late request of an urgent class must not
// make one of another class late.
func (p *Pool) compareByClass(a, b Request, now time.Time) int {
	return cmp.Or(p.compareLateness(a, b, now), a.Priority-b.Priority, a.Class-b.Class)
}
