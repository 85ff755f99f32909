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

// Record is one client's demand per second at one entry, or a sum over entries in an aggregator's reply.
type Record struct {
	Client ids.Client
	Demand Usage
}

// FullExchangeUpTo is the number of entries up to which each entry reports to every other one. With more entries, the
// number of messages would grow with the square of the entries, so each client's records are sent to its aggregator
// only.
const FullExchangeUpTo = 16

// EntrySet is the set of live entries. It selects, by rendezvous hashing, the entries that records are sent to.
type EntrySet struct {
	entries []ids.Node
	hashing *rendezvous.Rendezvous
}

// NewEntrySet returns the set of the given live entries, which must include this one.
func NewEntrySet(entries []ids.Node) *EntrySet {
	sorted := slices.Sorted(slices.Values(entries))
	names := make([]string, len(sorted))
	for i, e := range sorted {
		names[i] = string(e)
	}
	return &EntrySet{sorted, rendezvous.New(names, xxhash.Sum64String)}
}

// FullExchange reports whether each entry reports to every other one.
func (s *EntrySet) FullExchange() bool { return len(s.entries) <= FullExchangeUpTo }

// Aggregator returns the entry that sums a client's demand if the exchange is not full.
func (s *EntrySet) Aggregator(client ids.Client) ids.Node {
	return ids.Node(s.hashing.Lookup(string(client)))
}

// Recipients splits a report of the entry self by recipient. In the full exchange an empty report is sent too, because
// it indicates that there is no demand any more.
func (s *EntrySet) Recipients(self ids.Node, report []Record) map[ids.Node][]Record {
	to := make(map[ids.Node][]Record)
	if s.FullExchange() {
		for _, e := range s.entries {
			if e != self {
				to[e] = report
			}
		}
		return to
	}
	for _, record := range report {
		node := s.Aggregator(record.Client)
		to[node] = append(to[node], record)
	}
	return to
}

// minDemand is the fraction of an even share of the limit below which a client's demand is not reported, because it is
// negligible.
const minDemand = 0.1

// Report returns the demand of this entry's clients in descending order of tokens, limited to Options.MaxRecords. It
// also deletes expired state. It is called once per second, and the result is sent to EntrySet.Recipients.
func (l *Limiter) Report(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.expire(now)
	var records []Record
	for client, a := range l.accounts {
		demand := a.demand.rate(l.opts.Window, now)
		switch {
		case now.Sub(a.refilled) > l.opts.HoldFor:
			delete(l.accounts, client)
		case l.reportable(demand, l.limits[client]):
			records = append(records, Record{client, demand})
		}
	}
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Demand.Tokens, a.Demand.Tokens), cmp.Compare(a.Client, b.Client))
	})
	return records[:min(len(records), l.opts.MaxRecords)]
}

func (l *Limiter) reportable(d Usage, limit Limit) bool {
	if limit == (Limit{}) {
		return d.Tokens >= 1
	}
	even := minDemand / float64(l.entries)
	return limit.RequestsPerSecond > 0 && d.Requests > even*limit.RequestsPerSecond ||
		limit.TokensPerSecond > 0 && d.Tokens > even*limit.TokensPerSecond
}

// MergeReport records the report of another entry. For each client in it, it returns the demand summed over all entries
// except the reporting one, including this one. An aggregator sends these sums back; the full exchange does not need
// them.
func (l *Limiter) MergeReport(from ids.Node, records []Record, now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.record(from, records, now)
	sums := make([]Record, 0, len(records))
	for _, r := range records {
		total, _ := l.peers.sum(r.Client, now)
		total = total.minus(r.Demand)
		if a := l.accounts[r.Client]; a != nil {
			total = total.plus(a.demand.rate(l.opts.Window, now))
		}
		sums = append(sums, Record{r.Client, total})
	}
	return sums
}

// MergeSums records an aggregator's reply to a report of this entry: the demand at the other entries.
func (l *Limiter) MergeSums(sums []Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range sums {
		if a := l.accounts[r.Client]; a != nil {
			a.othersSum, a.othersAt = r.Demand, now
		}
	}
}

// Forget deletes the reports of a dead entry, whose callers have moved to other entries.
func (l *Limiter) Forget(node ids.Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers.forget(node)
}

// Quota returns the fraction of the pool's capacity that this entry needs so that clients are served fairly over all
// entries. It computes each client's fair work by max-min sharing of a capacity in tokens per second, and returns the
// fraction of that work that arrives at this entry. Without the full exchange, or without demand, it returns an even
// share.
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
	for client := range l.peers.demand {
		sum, _ := l.peers.sum(client, now)
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

// fairLevel returns the max-min fair level in tokens per second per unit of share: if each client gets the smaller of
// its demand and the level times its share, the capacity is used up.
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
