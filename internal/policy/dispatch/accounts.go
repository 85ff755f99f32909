package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
)

// maxYield bounds the slots that accounts beyond their share leave free for requests that wait at other gateways, as a fraction
// of all slots; one slot may always be left free. The other gateways learn of a free slot only with the next report, and until
// then it serves nobody.
const maxYield = 0.05

// MaxReportedAccounts is the number of accounts of a service that a gateway reports to others.
const MaxReportedAccounts = 8

// fair reports whether requests of client accounts are ordered by fair shares.
func (p *Pool) fair() bool { return p.opts.FairAccounts && !p.opts.Disabled[Accounts] }

// SetOthersAccounts replaces the work that the other gateways have in flight by account, and returns the tickets that this
// decides.
func (p *Pool) SetOthersAccounts(work map[fairshare.Account]fairshare.Work, now time.Time) []*Ticket {
	p.accounts.SetOthers(work)
	return p.decide(now)
}

// OwnAccounts returns this gateway's work of at most n accounts, and whether requests wait.
func (p *Pool) OwnAccounts(n int) (rows []fairshare.Row, waits bool) {
	if !p.fair() {
		return nil, false
	}
	waiting := map[fairshare.Account]int{}
	for _, t := range p.waiting {
		waiting[t.request.Account]++
	}
	return p.accounts.Largest(n, waiting), len(waiting) > 0
}

// interleaveAccounts orders requests that are equally urgent by the work in flight of their accounts, smallest first. Each request
// of an account also counts those of the same account ahead of it, so that accounts take turns. The requests must be sorted by
// urgency and target.
func (p *Pool) interleaveAccounts(list []*Ticket, now time.Time) {
	for rest := list; len(rest) > 0; {
		n := 1
		for n < len(rest) && p.compareUrgency(rest[0].request, rest[n].request, now) == 0 {
			n++
		}
		p.sortByLoad(rest[:n])
		rest = rest[n:]
	}
}

// sortByLoad sorts requests by the load of their accounts at the time at which each of them would start.
func (p *Pool) sortByLoad(list []*Ticket) {
	if len(list) < 2 {
		return
	}
	ahead := map[fairshare.Account]float64{}
	for _, t := range list {
		r := t.request
		t.accountLoad = p.accounts.Load(r.Account) + ahead[r.Account]
		ahead[r.Account] += float64(r.work()) / p.accounts.Weight(r.Account)
	}
	if len(ahead) == 1 {
		return
	}
	slices.SortStableFunc(list, func(a, b *Ticket) int { return cmp.Compare(a.accountLoad, b.accountLoad) })
}

// work returns the request's work in tokens, at least 1.
func (r Request) work() int { return max(1, r.Tokens) }

// yields reports whether the request leaves the free slots to requests that wait at other gateways, because its account has more
// work in flight than its share.
func (p *Pool) yields(t *Ticket, now time.Time) bool {
	if !p.fair() || !p.accounts.BeyondShare(t.request.Account) {
		return false
	}
	elsewhere := p.accounts.WaitingElsewhere()
	if elsewhere == 0 {
		return false
	}
	free, slots := p.freeSlots(p.opts.Fill, now)
	left := min(float64(elsewhere), max(1, maxYield*slots))
	if free > left {
		return false
	}
	t.yielded = t.yielded || free > 0
	return true
}

// addAccount adds the inputs of fair shares to those of a placement.
func (i *PlacementInputs) addAccount(p *Pool, t *Ticket) {
	if p.fair() {
		i.AccountTokens, i.Yielded = p.accounts.Load(t.request.Account), t.yielded
	}
}

// addAccount adds what fair shares contributed to a refusal.
func (p *Pool) addAccount(e *OverloadedError, r Request) {
	if p.fair() {
		e.AccountTokens, e.FairTokens = p.accounts.Load(r.Account), p.accounts.Mean()
	}
}
