package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/dgryski/go-rendezvous"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/ids"
)

// Ring names each client's aggregator among the live entries.
type Ring struct{ table *rendezvous.Rendezvous }

// NewRing returns the ring of the given entries, of which there must be one at least.
func NewRing(entries []ids.Node) *Ring {
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = string(e)
	}
	slices.Sort(names)
	return &Ring{rendezvous.New(names, xxhash.Sum64String)}
}

// Aggregator returns the entry that sums up a client's demand.
func (r *Ring) Aggregator(client ids.Client) ids.Node {
	return ids.Node(r.table.Lookup(string(client)))
}

// minDemand is the fraction of an even part of the limit below which a client's demand is not told: it cannot matter.
const minDemand = 0.1

// Report returns the demand of this entry's limited clients, sorted by client, to be sent to their aggregators once a
// second. Clients with next to no demand are left out, which bounds the report by the entry's own traffic.
func (l *Limiter) Report(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for client, a := range l.accounts {
		demand := a.demand.rate(l.opts.Window, now)
		limit, limited := l.limits[client]
		switch {
		case !limited || l.idle(a, now):
			delete(l.accounts, client)
		case l.matters(demand, limit):
			records = append(records, Record{client, demand})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Client, b.Client) })
	return records
}

func (l *Limiter) idle(a *account, now time.Time) bool { return now.Sub(a.refilled) > l.opts.Hold }

func (l *Limiter) matters(d Usage, limit Limit) bool {
	even := minDemand / float64(l.entries)
	return d.Requests > even*limit.RequestsPerSecond && limit.RequestsPerSecond > 0 ||
		d.Tokens > even*limit.TokensPerSecond && limit.TokensPerSecond > 0
}

type gathered struct {
	demand Usage
	at     time.Time
}

// freshFor is how many seconds an aggregator counts what an entry told; three reports may be lost.
const freshFor = 3500 * time.Millisecond

// Gather takes in, at an aggregator, what one entry reported, its own report included, and returns the sums for the
// same clients, which go back to that entry.
func (l *Limiter) Gather(from ids.Node, records []Record, now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make([]Record, 0, len(records))
	for _, r := range records {
		by := l.gathered[r.Client]
		if by == nil {
			by = make(map[ids.Node]gathered)
			l.gathered[r.Client] = by
		}
		by[from] = gathered{r.Demand, now}
		sums = append(sums, Record{r.Client, sum(by, now)})
	}
	return sums
}

func sum(by map[ids.Node]gathered, now time.Time) Usage {
	var total Usage
	for node, g := range by {
		if now.Sub(g.at) > freshFor {
			delete(by, node)
			continue
		}
		total.Requests += g.demand.Requests
		total.Tokens += g.demand.Tokens
	}
	return total
}

// Expire forgets what was gathered for clients that nobody reports any more. It is called every few seconds.
func (l *Limiter) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for client, by := range l.gathered {
		sum(by, now)
		if len(by) == 0 {
			delete(l.gathered, client)
		}
	}
}

// Learn takes in the sums that an aggregator returned for a report of this entry.
func (l *Limiter) Learn(sums []Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range sums {
		a := l.accounts[r.Client]
		if a == nil {
			continue
		}
		own := a.demand.rate(l.opts.Window, now)
		a.others = Usage{max(0, r.Demand.Requests-own.Requests), max(0, r.Demand.Tokens-own.Tokens)}
		a.heardAt = now
	}
}
