package dispatch

import "time"

// classes is the state of a pool whose requests have several priorities.
type classes struct {
	// arrivals counts the arrivals of each class, by class.
	arrivals map[int]*rate
	// credits holds the starts that each class is entitled to by its least part, by class.
	credits map[int]float64
}

// classRateWindow is the window over which the arrivals of a class are counted. It is longer than rateWindow, as one
// gateway of many gets few requests of a class in a second.
const classRateWindow = 4 * time.Second

// classed reports whether requests of several classes compete for the upstreams.
func (p *Pool) classed() bool { return len(p.opts.Classes) > 1 && !p.opts.Disabled[Classes] }

// recordArrival counts the arrival of a request for the reserve of its class.
func (p *Pool) recordArrival(r Request, now time.Time) {
	if !p.classed() {
		return
	}
	if p.classes.arrivals == nil {
		p.classes.arrivals = map[int]*rate{}
	}
	if p.classes.arrivals[r.Class] == nil {
		p.classes.arrivals[r.Class] = &rate{window: classRateWindow}
	}
	p.classes.arrivals[r.Class].count(now)
}

// arrivalRate returns the rate of a class's arrivals at this gateway, in requests per second.
func (p *Pool) arrivalRate(class int, now time.Time) float64 {
	arrivals := p.classes.arrivals[class]
	if arrivals == nil {
		return 0
	}
	arrivals.roll(now)
	return arrivals.perSecond()
}

// addClasses adds the inputs of the rules of classes.
func (i *PlacementInputs) addClasses(p *Pool, r Request, now time.Time) {
	if !p.classed() {
		return
	}
	i.Reserved, _ = p.reserve(r, now)
}

// addClasses adds what the rules of classes contributed to a refusal.
func (p *Pool) addClasses(e *OverloadedError, r Request, now time.Time) {
	if !p.classed() {
		return
	}
	e.Classes, e.Class = true, r.Class
	e.Ahead = len(p.ahead(r, now))
}
