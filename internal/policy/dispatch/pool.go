package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Request is the input of a placement.
type Request struct {
	// Arrived is when the request was read from the client.
	Arrived time.Time
	// Target is the time by which the response, or the first event of a stream, counts as on time.
	Target time.Time
	// Deadline is when the caller times out unless the first response has arrived.
	Deadline time.Time
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Class orders waiting requests of the same priority if the service has several classes; 0 goes first.
	Class int
	// PromptTokens is the number of tokens in the prompt, whose prefill precedes the first generated token; 0 for plain
	// services.
	PromptTokens int
	// Account is the client account that sent the request, and Tokens its work, prompt and expected output. Both matter only
	// with Options.FairAccounts.
	Account fairshare.Account
	Tokens  int
	// EndsBy is when the request ends in any case.
	EndsBy time.Time
	// Begun is set if the caller has a part of the response, which a refusal would cut off, MayHaveRun if an upstream may have run the
	// request, and Once if it may run once only.
	Begun, MayHaveRun, Once bool
	// Exclude lists upstreams that must not get the request, in any incarnation: an upstream that failed it may fail it
	// again.
	Exclude []ids.Upstream
	// ExcludeAddresses lists addresses at which no upstream may get the request.
	ExcludeAddresses []string
}

// excludes reports whether the upstream must not get the request.
func (r *Request) excludes(u *catalog.Upstream) bool {
	return slices.Contains(r.Exclude, u.ID) || slices.Contains(r.ExcludeAddresses, u.Address)
}

// Work is the work that one or more gateways have in flight at one upstream.
type Work struct {
	Requests     int
	PromptTokens int
}

func (w Work) plus(o Work) Work {
	return Work{w.Requests + o.Requests, w.PromptTokens + o.PromptTokens}
}

// Options configures a pool for its service.
type Options struct {
	// Engine is nil for a plain service.
	Engine *catalog.Engine
	// Fill is the maximum number of requests in flight for each slot of an upstream; LateFill is the same limit for
	// requests that can no longer meet their target.
	Fill, LateFill float64
	// Disabled lists the mechanisms that are disabled.
	Disabled DisabledMechanisms
	// Near is nil unless upstreams in the gateway's own data centre are preferred.
	Near *Near
	// Classes lists the classes of the service's requests, most urgent first. With fewer than two, no rule of classes applies.
	Classes []int
	// LeastPart is the part of the starts that each class gets at least; 0 for none.
	LeastPart float64
	// FairAccounts orders requests by fair shares of client accounts, with AccountWeights as weights; accounts that it does
	// not contain have 1.
	FairAccounts   bool
	AccountWeights map[fairshare.Account]float64
}

// Pool places the requests of one service. It is not safe for concurrent use.
type Pool struct {
	opts      Options
	upstreams map[ids.UpstreamIncarnation]*upstreamState
	// order lists the upstreams in the order in which SetUpstreams got them, so that equal inputs give equal decisions.
	order   []*upstreamState
	waiting []*Ticket
	rng     *rand.Rand
	// othersAt is the arrival time of the oldest digest from which the work of other gateways was counted.
	othersAt time.Time
	// ejected collects the ejections since the last call of TakeEjections.
	ejected   []Ejection
	completed rate
	// placed counts placements over rateWindow, placedSinceReport over the report interval of the other gateways.
	// sharing describes the gateways that place at the same upstreams.
	placed            rate
	placedSinceReport rate
	sharing           Sharing
	// scratch is reused by each placement.
	scratch []*upstreamState
	// limited is set while an upstream has a limit.
	limited bool
	cold    ColdAllowances
	// closed is set while no upstream can start a request; requests wait in the meantime.
	closed             bool
	closedAt, openedAt time.Time
	// latePromptTokens is the number of prompt tokens of late requests that this gateway has placed and whose prefill
	// is not done yet.
	latePromptTokens int
	// firstResponse is the mean time from the placement of a request to its first response; 0 if none was measured.
	firstResponse time.Duration
	// evacuated holds the data centres whose upstreams get no new requests; nil for none.
	evacuated *catalog.Evacuations
	classes   classes
	accounts  *fairshare.Ledger
	stop      Stop
}

// NewPool returns a pool without upstreams.
func NewPool(o Options, rng *rand.Rand) *Pool {
	p := &Pool{upstreams: map[ids.UpstreamIncarnation]*upstreamState{}, rng: rng, accounts: fairshare.NewLedger()}
	p.SetOptions(o)
	return p
}

// SetOptions applies a change of the configuration.
func (p *Pool) SetOptions(o Options) {
	p.opts = o
	p.accounts.SetWeights(o.AccountWeights)
}

// SetUpstreams replaces the list of upstreams and returns the tickets that this decides. The state of incarnations that
// remain is kept, and so is that of unlisted upstreams with requests in flight, at rest, or leaving.
//
// The registration of an upstream may expire while the store is unavailable, although the upstream is still working. If
// the upstream were treated as new when it is listed again, it would get a second full set of requests on top of those
// in flight, or requests that it has asked not to get.
func (p *Pool) SetUpstreams(list []*catalog.Upstream, now time.Time) []*Ticket {
	next := make(map[ids.UpstreamIncarnation]*upstreamState, len(list))
	p.order = p.order[:0]
	for _, e := range list {
		u := p.upstreams[e.Incarnation()]
		if u == nil {
			u = &upstreamState{}
		}
		u.listed, u.evacuated = e, p.evacuated.Has(e.DataCentre)
		p.applyCold(u, now)
		next[e.Incarnation()] = u
		p.order = append(p.order, u)
	}
	for i, u := range p.upstreams {
		if next[i] == nil && u.mustBeKept(now) {
			next[i] = u
		}
	}
	p.upstreams = next
	return p.decide(now)
}

// SetClosed sets whether all upstreams are known to refuse requests, as the ranks of a broken group do. It returns the
// tickets that this decides.
//
// A group re-forms within seconds. Requests sent in the meantime would use up their attempts and the retry budget; held
// back, they are served as soon as the group works again.
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

// SetUpstreamClosed sets whether one upstream is known to refuse requests. It returns the tickets that this decides.
//
// A rank that belongs to no group refuses every request. Because it appears idle, it would otherwise be chosen again.
func (p *Pool) SetUpstreamClosed(i ids.UpstreamIncarnation, closed bool, now time.Time) []*Ticket {
	if u := p.upstreams[i]; u != nil {
		u.closed = closed
	}
	return p.decide(now)
}

// SetOthersWork replaces the work that the other gateways have in flight and returns the tickets that this decides; at
// is the time at which the oldest of their digests arrived.
func (p *Pool) SetOthersWork(work map[ids.UpstreamIncarnation]Work, at, now time.Time) []*Ticket {
	p.othersAt = at
	for _, u := range p.order {
		u.others = work[u.listed.Incarnation()]
	}
	return p.decide(now)
}

// SetSharing sets how many gateways place requests at the same upstreams, and how often they report.
func (p *Pool) SetSharing(s Sharing) {
	p.sharing = s
	p.placedSinceReport.window = s.Interval
}

// SetSlowdowns replaces the slowdown factors of upstreams that are slower than normal. Upstreams without a factor are
// normal.
func (p *Pool) SetSlowdowns(slowdowns map[ids.UpstreamIncarnation]float64) {
	for _, u := range p.order {
		u.slowdown = slowdowns[u.listed.Incarnation()]
		if p.opts.Disabled[SlowRanks] {
			u.slowdown = 0
		}
	}
}

// OwnWork returns the work that this gateway has in flight, by upstream.
func (p *Pool) OwnWork() map[ids.UpstreamIncarnation]Work {
	out := make(map[ids.UpstreamIncarnation]Work, len(p.order))
	for _, u := range p.order {
		if u.own.Requests > 0 {
			out[u.listed.Incarnation()] = u.own
		}
	}
	return out
}

// Submit adds a request. Its ticket is decided on return, or waits until a later call returns it.
func (p *Pool) Submit(r Request, now time.Time) *Ticket {
	t := &Ticket{request: r}
	p.recordArrival(r, now)
	if err := p.stoppingError(r, now); err != nil {
		t.refuse(err)
		return t
	}
	if p.place(t, now) {
		return t
	}
	if len(p.order) == 0 && !p.closed {
		t.refuse(&NoRegisteredUpstreamError{RetryAfter: noUpstreamRetry})
		return t
	}
	ahead := p.ahead(r, now)
	if err := p.restrictedError(r, len(ahead), now); err != nil {
		t.refuse(err)
		return t
	}
	wait := p.expectedWaitOf(r, ahead, now)
	if err := p.stoppingError(r, now.Add(wait)); err != nil {
		t.refuse(err)
		return t
	}
	if p.lost(now) || p.tooLate(r, now, wait) {
		t.refuse(p.overloaded(r, wait, now))
		return t
	}
	p.waiting = append(p.waiting, t)
	return t
}

// tooLate reports whether a request is expected to start too late after a wait. One whose caller has a part of the answer is not refused
// by an estimate, since a refusal breaks the answer off: it waits as long as it is worth starting.
func (p *Pool) tooLate(r Request, now time.Time, wait time.Duration) bool {
	if r.Begun {
		wait = 0
	}
	return now.Add(wait).After(p.startBy(r))
}

// overloaded returns the refusal of a request that cannot be started in time.
func (p *Pool) overloaded(r Request, wait time.Duration, now time.Time) *OverloadedError {
	err := &OverloadedError{
		Waiting:    len(p.waiting),
		PerSecond:  p.completed.perSecond(),
		Waited:     now.Sub(r.Arrived),
		RetryAfter: p.classRetry(r, wait),
	}
	p.addClasses(err, r, now)
	p.addAccount(err, r)
	return err
}

// Cancel removes a waiting ticket whose caller has disconnected or timed out.
func (p *Pool) Cancel(t *Ticket) {
	p.waiting = slices.DeleteFunc(p.waiting, func(w *Ticket) bool { return w == t })
}

// Responded records that the upstream has done the prefill: the response or its first event has arrived.
func (p *Pool) Responded(t *Ticket, now time.Time) {
	if t.assigned == nil || t.responded {
		return
	}
	p.recordFirstResponse(now.Sub(t.placedAt))
	p.markPrefilled(t)
}

// markPrefilled subtracts the request's prompt from the upstream's tokens that still need a prefill.
func (p *Pool) markPrefilled(t *Ticket) {
	if t.responded {
		return
	}
	t.responded = true
	t.assigned.own.PromptTokens -= t.request.PromptTokens
	if t.late {
		p.latePromptTokens -= t.request.PromptTokens
	}
}

// Done records the outcome of a placed request and returns the tickets that are decided as a result.
func (p *Pool) Done(t *Ticket, o Outcome, now time.Time) []*Ticket {
	if t == nil || t.assigned == nil || t.done {
		return nil
	}
	p.markPrefilled(t)
	t.done = true
	t.assigned.own.Requests--
	p.accounts.Finished(t.request.Account, t.request.work())
	p.completed.count(now)
	if p.ejects(o) && t.assigned.health.recordOutcome(o, now) {
		p.ejected = append(p.ejected, t.assigned.ejection(o, now))
		p.readmitIfNoneUsable(now)
	}
	return p.decide(now)
}

// ejects reports whether an outcome may eject its upstream.
func (p *Pool) ejects(o Outcome) bool { return o == OutcomeReplaced || !p.opts.Disabled[EjectFailing] }

// Waiting returns the number of waiting requests.
func (p *Pool) Waiting() int { return len(p.waiting) }

// TakeEjections returns the ejections since the last call.
func (p *Pool) TakeEjections() []Ejection {
	out := p.ejected
	p.ejected = nil
	return out
}

// Tick advances the pool to now: it refuses requests that have waited too long and places requests where slots have
// become free.
func (p *Pool) Tick(now time.Time) []*Ticket { return p.decide(now) }

// decide sorts the waiting requests (see sortWaiting), places those that fit and refuses those that are past the time
// by which they must start. It returns the decided tickets.
func (p *Pool) decide(now time.Time) []*Ticket {
	if len(p.waiting) == 0 {
		return nil
	}
	var out []*Ticket
	rest := p.waiting[:0]
	p.sortWaiting(now)
	for _, t := range p.waiting {
		if err := p.stoppingError(t.request, now); err != nil {
			t.refuse(err)
			out = append(out, t)
			continue
		}
		switch {
		case now.After(p.startBy(t.request)):
			t.refuse(p.overloaded(t.request, p.expectedWait(now), now))
			out = append(out, t)
		case p.place(t, now):
			out = append(out, t)
		default:
			if err := p.restrictedError(t.request, len(rest), now); err != nil {
				t.refuse(err)
				out = append(out, t)
				continue
			}
			rest = append(rest, t)
		}
	}
	clear(p.waiting[len(rest):])
	p.waiting = rest
	return out
}

// place assigns the ticket to an upstream and reports whether one had a free slot.
func (p *Pool) place(t *Ticket, now time.Time) bool {
	if p.closed || p.beyondShare(now) || p.reserved(t.request, now) || p.yields(t, now) {
		return false
	}
	candidates := p.candidates(t.request, now)
	if len(candidates) == 0 {
		return false
	}
	p.assign(t, p.preferNear(t.request, candidates, p.leastLoaded(candidates, p.choices(len(candidates), now)), now), len(candidates), now)
	return true
}

// assign places the ticket at the best of a number of usable upstreams.
func (p *Pool) assign(t *Ticket, best *upstreamState, usable int, now time.Time) {
	p.recordPlacement(now)
	t.inputs = PlacementInputs{Load: p.load(best), Usable: usable, Waiting: len(p.waiting)}
	if !p.othersAt.IsZero() {
		t.inputs.OthersAge = now.Sub(p.othersAt)
	}
	t.inputs.addClasses(p, t.request, now)
	t.inputs.addAccount(p, t)
	if best.allowance != nil {
		t.inputs.OwnPart = best.allowance.PerSecond()
	}
	if best.cold != nil {
		t.inputs.ColdPart = best.cold.bucket.PerSecond()
	}
	t.inputs.Entitled = p.entitled(t.request.Class)
	p.recordClassStart(t.request.Class, now)
	p.accounts.Started(t.request.Account, t.request.work())
	best.own = best.own.plus(Work{1, t.request.PromptTokens})
	if t.late = p.late(t.request, now); t.late {
		p.latePromptTokens += t.request.PromptTokens
	}
	best.recordPlacement(now)
	t.assigned = best
	t.upstream = best.listed
	t.placedAt = now
	t.state = placed
}

// candidates returns the upstreams that may take the request now. The result is valid until the next call.
func (p *Pool) candidates(r Request, now time.Time) []*upstreamState {
	fill := p.opts.Fill
	p.scratch = p.scratch[:0]
	if p.late(r, now) {
		if !p.opts.Disabled[LateFill] {
			fill = p.opts.LateFill
		}
		if p.beyondLatePrefill() {
			return nil
		}
	}
	for _, c := range p.order {
		if c.usable(now) && p.permits(c, now) && !r.excludes(c.listed) && c.hasFreeSlot(fill) {
			p.scratch = append(p.scratch, c)
		}
	}
	return p.scratch
}

// tieBreak is the maximum random addition to an upstream's load. It spreads requests over upstreams with equal load, so
// that gateways with equal state do not all choose the same one.
const tieBreak = 0.01

// load returns the value by which upstreams are compared: the fraction of the slots in use plus the number of passes
// needed for the prefill of the waiting prompts.
func (p *Pool) load(u *upstreamState) float64 {
	all := u.own.plus(u.others)
	load := float64(all.Requests) / float64(max(1, u.listed.Slots))
	if e := p.opts.Engine; e != nil && e.Chunk > 0 {
		load += float64(all.PromptTokens) / float64(e.Chunk*e.Stride)
	}
	return load
}
