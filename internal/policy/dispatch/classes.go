package dispatch

import (
	"slices"
	"time"
)

// classes is the state of a pool whose requests have several priorities.
type classes struct {
	// arrivals counts the arrivals of each class, by priority.
	arrivals map[int]*rate
	pass     passTime
}

// classRateWindow is the window over which the arrivals of a class are counted. It is longer than rateWindow, as one
// gateway of many gets few requests of a class in a second.
const classRateWindow = 4 * time.Second

// classed reports whether requests of several classes compete for the upstreams.
func (p *Pool) classed() bool { return len(p.opts.Classes) > 1 && !p.opts.Disabled[Classes] }

// mostUrgent reports whether no class of the service is more urgent than that of the request.
func (p *Pool) mostUrgent(r Request) bool { return r.Priority <= p.opts.Classes[0] }

// recordArrival counts the arrival of a request for the reserve of its class.
func (p *Pool) recordArrival(r Request, now time.Time) {
	if !p.classed() {
		return
	}
	if p.classes.arrivals == nil {
		p.classes.arrivals = map[int]*rate{}
	}
	if p.classes.arrivals[r.Priority] == nil {
		p.classes.arrivals[r.Priority] = &rate{window: classRateWindow}
	}
	p.classes.arrivals[r.Priority].count(now)
}

// SortedClasses returns the distinct priorities of a list, most urgent first, for Options.Classes.
func SortedClasses(priorities []int) []int {
	out := slices.Clone(priorities)
	slices.Sort(out)
	return slices.Compact(out)
}
