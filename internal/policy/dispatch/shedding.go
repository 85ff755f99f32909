package dispatch

import (
	"slices"
	"time"
)

// Shed refuses waiting requests that can no longer be started in time because of the requests ahead of them. It returns the tickets
// that this decides. It is called after an arrival, which may go ahead of others.
//
// A request that waits until its time is over keeps its caller from asking elsewhere, and is answered no sooner for it.
func (p *Pool) Shed(now time.Time) []*Ticket {
	if !p.classed() && !p.fair() || p.closed || len(p.waiting) == 0 {
		return nil
	}
	p.sortWaiting(now)
	var out []*Ticket
	rest := p.waiting[:0]
	for _, t := range p.waiting {
		wait := p.expectedWaitOf(t.request, rest, now)
		if p.tooLate(t.request, now, wait) {
			t.refuse(p.overloaded(t.request, wait, now))
			out = append(out, t)
			continue
		}
		rest = append(rest, t)
	}
	clear(p.waiting[len(rest):])
	p.waiting = rest
	return out
}

// ahead returns the waiting requests that go ahead of one that arrives now: all of them if the service has one class and accounts
// are not ordered.
func (p *Pool) ahead(r Request, now time.Time) []*Ticket {
	if !p.classed() && !p.fair() {
		return p.waiting
	}
	t := &Ticket{request: r}
	list := append(slices.Clone(p.waiting), t)
	p.sortTickets(list, now)
	return list[:slices.Index(list, t)]
}

// classRetry returns the Retry-After of a refusal, which is later for a less urgent class: its callers would come back to the same
// queue, and go behind the others again.
func (p *Pool) classRetry(r Request, wait time.Duration) time.Duration {
	after := p.retryAfter(wait)
	if !p.classed() || p.closed {
		return after
	}
	less := 0
	for _, c := range p.opts.Classes {
		if c < r.Class {
			less++
		}
	}
	return min(maxRetry, after+time.Duration(less)*classRetryStep)
}

// classRetryStep is how much later the callers of a class come back than those of the next more urgent one.
const classRetryStep = 150 * time.Millisecond
