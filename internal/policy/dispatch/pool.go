package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Request is what the pool knows of a request.
type Request struct {
	// Arrived is when the request was read from the caller.
	Arrived time.Time
	// Aim is until when the answer, or a stream's first event, counts as in time.
	Aim time.Time
	// Latest is when the caller leaves unless the first answer has come.
	Latest time.Time
	// Priority is the rank among waiting requests; 0 goes first.
	Priority int
	// PromptTokens are read before the first token; 0 for plain services.
	PromptTokens int
	// Exclude names upstreams that must not get the request, whatever their life: one that failed it may fail it again.
	Exclude []ids.Upstream
}

// Work is what some sender has in flight at one upstream.
type Work struct {
	Requests     int
	PromptTokens int
}

func (w Work) plus(o Work) Work {
	return Work{w.Requests + o.Requests, w.PromptTokens + o.PromptTokens}
}

// Options are what a pool needs to know of its service.
type Options struct {
	// Engine is nil for a plain service.
	Engine *catalog.Engine
	// Fill is how many requests may be in flight at an upstream for each of its slots; LateFill is the same for a request
	// that can no longer be answered in time.
	Fill, LateFill float64
	// Off are mechanisms that are switched off.
	Off Off
}

// Pool places the requests of one service. It is not safe for concurrent use.
type Pool struct {
	opts    Options
	targets map[ids.UpstreamIncarnation]*target
	// order lists the targets by id, so that equal inputs give equal decisions.
	order   []*target
	waiting []*Ticket
	rng     *rand.Rand
	// othersAt is when the oldest digest came by which others' work is counted.
	othersAt time.Time
	// ejected collects what was ejected since TakeEjections.
	ejected []Ejection
	drained rate
	// placed counts placements, lately those since others were last told of them; sharing is what is known of the gateways
	// that place at the same upstreams.
	placed  rate
	lately  rate
	sharing Sharing
	// scratch is reused by each placement.
	scratch []*target
	// closed says that no upstream can start anything now; requests wait.
	closed             bool
	closedAt, openedAt time.Time
	// lateUnread are the prompt tokens of late requests that were placed by this gateway and are not read yet.
	lateUnread int
	// first is the mean time from placing a request to its first answer; 0 if none was measured.
	first time.Duration
}

// NewPool returns a pool without upstreams.
func NewPool(o Options, rng *rand.Rand) *Pool {
	return &Pool{opts: o, targets: map[ids.UpstreamIncarnation]*target{}, rng: rng}
}

// SetOptions follows a change of the configuration.
func (p *Pool) SetOptions(o Options) { p.opts = o }

// SetUpstreams replaces the list of upstreams; what is known of lives that stay is kept. It returns the tickets that
// are settled by it.
//
// An entry may lapse while the store is away, with its upstream at work. Taken for a new one when it is back, the upstream
// would get as many requests again as it has slots.
func (p *Pool) SetUpstreams(list []*catalog.Upstream, now time.Time) []*Ticket {
	next := make(map[ids.UpstreamIncarnation]*target, len(list))
	p.order = p.order[:0]
	for _, u := range list {
		t := p.targets[u.Incarnation()]
		if t == nil {
			t = &target{}
		}
		t.up = u
		next[u.Incarnation()] = t
		p.order = append(p.order, t)
	}
	for i, t := range p.targets {
		if next[i] == nil && t.own.Requests > 0 {
			next[i] = t
		}
	}
	p.targets = next
	return p.decide(now)
}

// SetClosed says whether all upstreams are known to refuse what is sent to them, as the ranks of a broken group do.
//
// A group forms again within seconds; requests that are sent meanwhile use up their attempts and the retry budget. Held back
// here they are served as soon as it works.
func (p *Pool) SetClosed(closed bool, now time.Time) []*Ticket {
	switch {
	case p.closed && !closed:
		p.openedAt = now
	case !p.closed && closed:
		p.closedAt = now
	}
	p.closed = closed
	return p.decide(now)
}

// SetUpstreamClosed says whether one upstream is known to refuse what is sent to it.
//
// Ranks that no group takes refuse all they get, seem idle for it, and would get the next request, too.
func (p *Pool) SetUpstreamClosed(i ids.UpstreamIncarnation, closed bool, now time.Time) []*Ticket {
	if t := p.targets[i]; t != nil {
		t.closed = closed
	}
	return p.decide(now)
}

// SetOthers replaces what the other gateways have in flight; at is when the oldest of their digests came.
func (p *Pool) SetOthers(work map[ids.UpstreamIncarnation]Work, at, now time.Time) []*Ticket {
	p.othersAt = at
	for _, t := range p.order {
		t.others = work[t.up.Incarnation()]
	}
	return p.decide(now)
}

// SetSharing says who else places requests at the same upstreams.
func (p *Pool) SetSharing(s Sharing) {
	p.sharing = s
	p.lately.window = s.Interval
}

// SetPaces replaces what is known of upstreams that are slower than usual; all others are as usual.
func (p *Pool) SetPaces(paces map[ids.UpstreamIncarnation]float64) {
	for _, t := range p.order {
		t.pace = paces[t.up.Incarnation()]
		if p.opts.Off[SlowRanks] {
			t.pace = 0
		}
	}
}

// Own returns what this gateway has in flight at each upstream.
func (p *Pool) Own() map[ids.UpstreamIncarnation]Work {
	out := make(map[ids.UpstreamIncarnation]Work, len(p.order))
	for _, t := range p.order {
		if t.own.Requests > 0 {
			out[t.up.Incarnation()] = t.own
		}
	}
	return out
}

// Submit takes in a request. The ticket is settled at once, or by a later call that returns it.
func (p *Pool) Submit(r Request, now time.Time) *Ticket {
	t := &Ticket{request: r}
	if p.place(t, now) {
		return t
	}
	if len(p.order) == 0 && !p.closed {
		t.refuse(&NoUpstreamError{RetryAfter: noUpstreamRetry})
		return t
	}
	if wait := p.expectedWait(now); p.lost(now) || now.Add(wait).After(p.startBy(r)) {
		t.refuse(p.overloaded(r, wait, now))
		return t
	}
	p.waiting = append(p.waiting, t)
	return t
}

// overloaded is the refusal of a request that cannot be started in time.
func (p *Pool) overloaded(r Request, wait time.Duration, now time.Time) *OverloadedError {
	return &OverloadedError{
		Waiting:    len(p.waiting),
		PerSecond:  p.drained.perSecond(),
		Waited:     now.Sub(r.Arrived),
		RetryAfter: p.retryAfter(wait),
	}
}

// Cancel takes a waiting ticket out, because its caller left.
func (p *Pool) Cancel(t *Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Ticket) bool { return w == t })
}

// Answered notes that the upstream has read the prompt: the answer or its first event is there.
func (p *Pool) Answered(t *Ticket, now time.Time) {
	if t.target == nil || t.answered {
		return
	}
	p.noteFirst(now.Sub(t.placedAt))
	p.unread(t)
}

// unread takes the request's prompt off what the upstream has still to read.
func (p *Pool) unread(t *Ticket) {
	if t.answered {
		return
	}
	t.answered = true
	t.target.own.PromptTokens -= t.request.PromptTokens
	if t.late {
		p.lateUnread -= t.request.PromptTokens
	}
}

// Done takes in the end of a placed request and returns the tickets that are settled by it.
func (p *Pool) Done(t *Ticket, o Outcome, now time.Time) []*Ticket {
	if t.target == nil || t.done {
		return nil
	}
	p.unread(t)
	t.done = true
	t.target.own.Requests--
	p.drained.count(now)
	if p.ejects(o) && t.target.health.note(o, now) {
		p.ejected = append(p.ejected, t.target.ejection(o, now))
		p.spare(now)
	}
	return p.decide(now)
}

// ejects reports whether an outcome may keep requests away from its upstream.
func (p *Pool) ejects(o Outcome) bool { return o == OutcomeGone || !p.opts.Off[EjectFailing] }

// Waiting returns how many requests wait.
func (p *Pool) Waiting() int { return len(p.waiting) }

// TakeEjections returns what was ejected since the last call.
func (p *Pool) TakeEjections() []Ejection {
	out := p.ejected
	p.ejected = nil
	return out
}

// Tick lets time pass: it refuses what has waited too long and places what has become free.
func (p *Pool) Tick(now time.Time) []*Ticket { return p.decide(now) }

// decide places waiting requests, the best first, and refuses those that are past their latest time.
func (p *Pool) decide(now time.Time) []*Ticket {
	if len(p.waiting) == 0 {
		return nil
	}
	var out []*Ticket
	rest := p.waiting[:0]
	p.sortWaiting(now)
	for _, t := range p.waiting {
		switch {
		case now.After(p.startBy(t.request)):
			t.refuse(p.overloaded(t.request, p.expectedWait(now), now))
			out = append(out, t)
		case p.place(t, now):
			out = append(out, t)
		default:
			rest = append(rest, t)
		}
	}
	clear(p.waiting[len(rest):])
	p.waiting = rest
	return out
}

// sortWaiting puts the requests first that can still be answered in time, by priority and then by how soon they must
// be; those that are late already come after them, the oldest first. Under overload this serves as many as possible in
// time, where serving in order of arrival would make all of them late.
func (p *Pool) sortWaiting(now time.Time) {
	slices.SortStableFunc(p.waiting, func(a, b *Ticket) int {
		if a.request.Priority != b.request.Priority {
			return a.request.Priority - b.request.Priority
		}
		la, lb := p.late(a.request, now), p.late(b.request, now)
		switch {
		case la != lb && la:
			return 1
		case la != lb:
			return -1
		}
		return a.request.Aim.Compare(b.request.Aim)
	})
}

// place gives the ticket an upstream if one has room.
func (p *Pool) place(t *Ticket, now time.Time) bool {
	if p.closed || p.beyondShare(now) {
		return false
	}
	able := p.able(t.request, now)
	if len(able) == 0 {
		return false
	}
	best := p.leastLoaded(able, p.choices(len(able), now))
	p.notePlaced(now)
	t.decision = Decision{Load: p.load(best), Usable: len(able), Waiting: len(p.waiting)}
	if !p.othersAt.IsZero() {
		t.decision.OthersAge = now.Sub(p.othersAt)
	}
	best.own = best.own.plus(Work{1, t.request.PromptTokens})
	if t.late = p.late(t.request, now); t.late {
		p.lateUnread += t.request.PromptTokens
	}
	best.health.chosen(now)
	t.target = best
	t.up = best.up
	t.placedAt = now
	t.state = placed
	return true
}

// able are the targets that may take the request now.
func (p *Pool) able(r Request, now time.Time) []*target {
	fill := p.opts.Fill
	p.scratch = p.scratch[:0]
	if p.late(r, now) {
		if !p.opts.Off[LateFill] {
			fill = p.opts.LateFill
		}
		if p.beyondLateReading() {
			return nil
		}
	}
	for _, c := range p.order {
		if c.usable(now) && !slices.Contains(r.Exclude, c.up.ID) && c.room(fill) {
			p.scratch = append(p.scratch, c)
		}
	}
	return p.scratch
}

// tieBreak spreads requests over upstreams with equal load, so that gateways with equal views do not all pick the same.
const tieBreak = 0.01

// load compares upstreams: the part of the slots in use, and the passes that reading the waiting prompts takes.
func (p *Pool) load(t *target) float64 {
	all := t.own.plus(t.others)
	load := float64(all.Requests) / float64(max(1, t.up.Slots))
	if e := p.opts.Engine; e != nil && e.Chunk > 0 {
		load += float64(all.PromptTokens) / float64(e.Chunk*e.Stride)
	}
	return load
}
