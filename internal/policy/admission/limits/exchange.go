package limits

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Record is one client's demand per second at one entry, or the sum over entries in an aggregator's answer.
type Record struct {
	Client ids.Client
	Demand Usage
}

// FullExchangeUpTo is the number of entries up to which each tells each other one. Beyond it, the messages would grow
// with the square of the entries, and each client's records go to its aggregator only.
const FullExchangeUpTo = 16

// Ring names the entries that a record is sent to.
type Ring struct {
	entries []ids.Node
	table   *rendezvous.Rendezvous
}

// NewRing returns the ring of the live entries, this one included.
func NewRing(entries []ids.Node) *Ring {
	sorted := slices.Sorted(slices.Values(entries))
	names := make([]string, len(sorted))
	for i, e := range sorted {
		names[i] = string(e)
	}
	return &Ring{sorted, rendezvous.New(names, xxhash.Sum64String)}
}

// Full reports whether each entry tells each other one.
func (r *Ring) Full() bool { return len(r.entries) <= FullExchangeUpTo }

// Aggregator returns the entry that sums up a client's demand if the exchange is not full.
func (r *Ring) Aggregator(client ids.Client) ids.Node {
	return ids.Node(r.table.Lookup(string(client)))
}

// Address sorts a report of the entry self by where it goes. In the full exchange an empty report goes out too,
// because it says that there is no demand any more.
func (r *Ring) Address(self ids.Node, report []Record) map[ids.Node][]Record {
	to := make(map[ids.Node][]Record)
	if r.Full() {
		for _, e := range r.entries {
			if e != self {
				to[e] = report
			}
		}
		return to
	}
	for _, record := range report {
		node := r.Aggregator(record.Client)
		to[node] = append(to[node], record)
	}
	return to
}

// minDemand is the fraction of an even part of the limit below which a client's demand is not told: it cannot matter.
const minDemand = 0.1

// Report returns the demand of this entry's clients, most first and no more than Options.MaxRecords. It is sent once
// a second to where Ring.Address says.
func (l *Limiter) Report(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.expire(now)
	var records []Record
	for client, a := range l.accounts {
		demand := a.demand.rate(l.opts.Window, now)
		switch {
		case now.Sub(a.refilled) > l.opts.Hold:
			delete(l.accounts, client)
		case l.matters(demand, l.limits[client]):
			records = append(records, Record{client, demand})
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Demand.Tokens, a.Demand.Tokens), cmp.Compare(a.Client, b.Client))
	})
	return records[:min(len(records), l.opts.MaxRecords)]
}

func (l *Limiter) matters(d Usage, limit Limit) bool {
	if limit == (Limit{}) {
		return d.Tokens >= 1
	}
	even := minDemand / float64(l.entries)
	return limit.RequestsPerSecond > 0 && d.Requests > even*limit.RequestsPerSecond ||
		limit.TokensPerSecond > 0 && d.Tokens > even*limit.TokensPerSecond
}

// MergeReport takes in what another entry reported, and returns the sums over all entries but that one, this one included,
// for the same clients. An aggregator sends them back; in the full exchange they are not needed.
func (l *Limiter) MergeReport(from ids.Node, records []Record, now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.record(from, records, now)
	sums := make([]Record, 0, len(records))
	for _, r := range records {
		total, _ := l.book.sum(r.Client, now)
		total = total.minus(r.Demand)
		if a := l.accounts[r.Client]; a != nil {
			total = total.plus(a.demand.rate(l.opts.Window, now))
		}
		sums = append(sums, Record{r.Client, total})
	}
	return sums
}

// MergeSums takes in what an aggregator returned for a report of this entry: the demand at the other entries.
func (l *Limiter) MergeSums(sums []Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range sums {
		if a := l.accounts[r.Client]; a != nil {
			a.sum, a.sumAt = r.Demand, now
		}
	}
}

// Forget drops what an entry told that is known to be gone, because its callers have moved on.
func (l *Limiter) Forget(node ids.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.forget(node)
}

// Quota returns which part of the pool's places this entry needs, so that clients are served fairly over all entries:
// the part of all clients' fair work, by max-min sharing of a capacity in tokens a second, that comes to this entry.
// It needs the full exchange; without it, or without demand, the part is even.
func (l *Limiter) Quota(capacity float64, share func(ids.Client) float64, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	even := 1 / float64(l.entries)
	if l.entries > FullExchangeUpTo {
		return even
	}
	demands := l.demands(share, now)
	level := fairLevel(demands, capacity)
	own, total := 0.0, 0.0
	for _, d := range demands {
		fair := min(d.total, level*d.share)
		total += fair
		own += fair * d.own / d.total
	}
	if total <= 0 {
		return even
	}
	return own / total
}

type clientDemand struct{ own, total, share float64 }

func (l *Limiter) demands(share func(ids.Client) float64, now time.Time) []clientDemand {
	byClient := make(map[ids.Client]*clientDemand)
	for client, a := range l.accounts {
		own := a.demand.rate(l.opts.Window, now).Tokens
		byClient[client] = &clientDemand{own: own, total: own}
	}
	for client := range l.book.demand {
		sum, _ := l.book.sum(client, now)
		d := byClient[client]
		if d == nil {
			d = &clientDemand{}
			byClient[client] = d
		}
		d.total += sum.Tokens
	}
	var list []clientDemand
	for _, client := range slices.Sorted(maps.Keys(byClient)) {
		d := byClient[client]
		d.share = share(client)
		if d.total > 0 {
			list = append(list, *d)
		}
	}
	return list
}

// fairLevel returns the tokens a second per unit of share at which the demands, each cut at its share of the level,
// use up the capacity.
func fairLevel(demands []clientDemand, capacity float64) float64 {
	sorted := slices.SortedFunc(slices.Values(demands), func(a, b clientDemand) int {
		return cmp.Compare(a.total/a.share, b.total/b.share)
	})
	shares := 0.0
	for _, d := range sorted {
		shares += d.share
	}
	level := 0.0
	for _, d := range sorted {
		level = capacity / shares
		if d.total/d.share >= level {
			return level
		}
		capacity -= d.total
		shares -= d.share
		level = d.total / d.share
	}
	return level
}
