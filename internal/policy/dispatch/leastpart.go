package dispatch

import (
	"slices"
	"time"
)

// maxPartCredit bounds the starts that a class may have saved up: a class whose requests come rarely must not get several starts
// in a row.
const maxPartCredit = 2

// guarantees reports whether each class gets a least part of the starts.
func (p *Pool) guarantees() bool {
	return p.classed() && p.opts.LeastPart > 0 && !p.opts.Disabled[LeastPart]
}

// recordClassStart updates the credits after a request of a class was started. Each start of another class earns a class its part
// of a start, and each start of its own uses one up. So a class that gets its part by the usual order has no credit.
//
// Among requests in time the order by class is strict. Without a least part, a class gets nothing for as long as more urgent ones
// fill all slots.
func (p *Pool) recordClassStart(started int, now time.Time) {
	if !p.guarantees() {
		return
	}
	if p.classes.credits == nil {
		p.classes.credits = map[int]float64{}
	}
	for _, class := range p.opts.Classes {
		credit := p.classes.credits[class]
		switch {
		case class == started:
			credit = max(0, credit-1)
		case p.arrivalRate(class, now) == 0:
			credit = 0
		default:
			credit = min(maxPartCredit, credit+p.opts.LeastPart)
		}
		p.classes.credits[class] = credit
	}
}

// entitled reports whether the next request of a class goes ahead of all others.
func (p *Pool) entitled(class int) bool { return p.guarantees() && p.classes.credits[class] >= 1 }

// advanceEntitled moves the first request of each entitled class to the front of a sorted list.
func (p *Pool) advanceEntitled(list []*Ticket) {
	if !p.guarantees() {
		return
	}
	front := 0
	for _, class := range p.opts.Classes {
		if !p.entitled(class) {
			continue
		}
		i := slices.IndexFunc(list, func(t *Ticket) bool { return t.request.Class == class })
		if i <= front {
			continue
		}
		t := list[i]
		copy(list[front+1:i+1], list[front:i])
		list[front] = t
		front++
	}
}

// expectedWaitOf estimates how long a request waits behind the given requests: by the order of the queue, or by the least part of
// its class if that is sooner.
func (p *Pool) expectedWaitOf(r Request, ahead []*Ticket, now time.Time) time.Duration {
	wait := p.waitBehind(len(ahead), now)
	if wait == 0 || !p.guarantees() {
		return wait
	}
	missing := 1 - p.classes.credits[r.Class]
	for _, t := range ahead {
		if t.request.Class == r.Class {
			missing++
		}
	}
	perSecond := p.opts.LeastPart * p.completed.perSecond()
	return min(wait, time.Duration(max(0, missing)/perSecond*float64(time.Second)))
}
