package limits

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// told is what one entry told of one client, and when.
type told struct {
	demand Usage
	at     time.Time
}

// book holds what other entries told.
type book struct {
	opts   Options
	heard  map[ids.Node]time.Time
	demand map[ids.Client]map[ids.Node]told
}

func newBook(opts Options) book {
	return book{opts: opts, heard: make(map[ids.Node]time.Time), demand: make(map[ids.Client]map[ids.Node]told)}
}

func (b *book) record(from ids.Node, records []Record, now time.Time) {
	b.heard[from] = now
	for _, r := range records {
		by := b.demand[r.Client]
		if by == nil {
			by = make(map[ids.Node]told)
			b.demand[r.Client] = by
		}
		by[from] = told{r.Demand, now}
	}
}

// counts reports whether what an entry told still holds. An entry that goes on reporting but leaves a client out has
// no demand of it any more. One that is not heard at all may only be cut off, and its callers still use it.
func (b *book) counts(from ids.Node, t told, now time.Time) bool {
	if b.heard[from].Sub(t.at) >= b.opts.Fresh {
		return false
	}
	return now.Sub(t.at) < b.opts.Hold
}

// sum adds up what all entries told of a client.
func (b *book) sum(client ids.Client, now time.Time) (total Usage, known bool) {
	for from, t := range b.demand[client] {
		if b.counts(from, t, now) {
			total = total.plus(t.demand)
			known = true
		}
	}
	return total, known
}

// others returns the demand at the other entries, from what they told this one or from what the aggregator told,
// whichever is more.
func (b *book) others(client ids.Client, a *account, now time.Time) (Usage, bool) {
	direct, known := b.sum(client, now)
	if a.sumAt.IsZero() || now.Sub(a.sumAt) >= b.opts.Hold {
		return direct, known
	}
	return Usage{max(direct.Requests, a.sum.Requests), max(direct.Tokens, a.sum.Tokens)}, true
}

// expire drops what does not count any more.
func (b *book) expire(now time.Time) {
	for client, by := range b.demand {
		for from, t := range by {
			if !b.counts(from, t, now) {
				delete(by, from)
			}
		}
		if len(by) == 0 {
			delete(b.demand, client)
		}
	}
}

func (b *book) forget(node ids.Node) {
	delete(b.heard, node)
	for _, by := range b.demand {
		delete(by, node)
	}
}
