package fairshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Account identifies a client account among those of a service. Two accounts with the same hash count as one.
type Account uint32

// AccountOf returns the identity of an account: the lower half of the hash of its name.
func AccountOf(name ids.Client) Account { return Account(xxhash.Sum64String(string(name))) }

// Work is the work of one account.
type Work struct {
	// Tokens is the work in flight, in tokens; for a plain service, the number of requests.
	Tokens int
	// Waiting is the number of requests that wait.
	Waiting int
}

// tolerance is how many times its share an account may have in flight before it leaves room for others. The reports of other
// gateways are up to a second old, in which a small account's work in flight changes by a few requests.
const tolerance = 1.25

// Ledger holds the work in flight of a service by account. It is not safe for concurrent use.
type Ledger struct {
	weights map[Account]float64
	own     map[Account]int
	others  map[Account]Work
	// perWeight is the work in flight of all accounts for each unit of their weight. It is computed when it is needed and
	// valid is set.
	perWeight float64
	valid     bool
}

// NewLedger returns a ledger of accounts with equal weights.
func NewLedger() *Ledger { return &Ledger{own: map[Account]int{}} }

// SetWeights sets the weights of accounts; all others have 1.
func (l *Ledger) SetWeights(weights map[Account]float64) {
	l.weights, l.valid = weights, false
}

// SetOthers replaces the work of the other gateways.
func (l *Ledger) SetOthers(work map[Account]Work) {
	l.others, l.valid = work, false
}

// Started records that this gateway has sent a request.
func (l *Ledger) Started(a Account, tokens int) {
	l.own[a] += tokens
	l.valid = false
}

// Finished records the end of a request that Started recorded.
func (l *Ledger) Finished(a Account, tokens int) {
	if l.own[a] -= tokens; l.own[a] <= 0 {
		delete(l.own, a)
	}
	l.valid = false
}

// Weight returns the weight of an account's share.
func (l *Ledger) Weight(a Account) float64 { return cmp.Or(l.weights[a], 1) }

// Load returns the tokens that all gateways have in flight for an account, for each unit of its weight.
func (l *Ledger) Load(a Account) float64 {
	return float64(l.own[a]+l.others[a].Tokens) / l.Weight(a)
}

// BeyondShare reports whether an account has clearly more work in flight than its share of the work of all accounts.
func (l *Ledger) BeyondShare(a Account) bool {
	return l.Load(a) > tolerance*l.Mean()
}

// Mean returns the work in flight of all accounts for each unit of their weight: the fair share of an account of weight 1.
func (l *Ledger) Mean() float64 {
	if l.valid {
		return l.perWeight
	}
	tokens, weight := 0, 0.0
	for a, own := range l.own {
		tokens += own + l.others[a].Tokens
		weight += l.Weight(a)
	}
	for a, w := range l.others {
		if _, counted := l.own[a]; !counted {
			tokens += w.Tokens
			weight += l.Weight(a)
		}
	}
	l.perWeight, l.valid = 0, true
	if weight > 0 {
		l.perWeight = float64(tokens) / weight
	}
	return l.perWeight
}

// WaitingElsewhere returns the number of requests that wait at other gateways and belong to accounts within their share.
func (l *Ledger) WaitingElsewhere() int {
	n := 0
	for a, w := range l.others {
		if w.Waiting > 0 && !l.BeyondShare(a) {
			n += w.Waiting
		}
	}
	return n
}

// Row is the work of one account at this gateway.
type Row struct {
	Account Account
	Work
}

// Largest returns this gateway's work of at most n accounts: those with waiting requests first, then those with the most work
// in flight. waiting holds the number of waiting requests by account.
func (l *Ledger) Largest(n int, waiting map[Account]int) []Row {
	var rows []Row
	for a, tokens := range l.own {
		rows = append(rows, Row{a, Work{tokens, waiting[a]}})
	}
	for a, w := range waiting {
		if _, counted := l.own[a]; !counted {
			rows = append(rows, Row{a, Work{0, w}})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Account, b.Account))
	})
	return rows[:min(n, len(rows))]
}

// Scale returns the work of all other gateways, estimated from the reports of some of them. Callers are assumed to spread their
// requests evenly over the gateways.
func Scale(reported map[Account]Work, reports, others int) map[Account]Work {
	if reports == 0 || reports >= others {
		return reported
	}
	factor := float64(others) / float64(reports)
	out := make(map[Account]Work, len(reported))
	for a, w := range reported {
		out[a] = Work{int(factor * float64(w.Tokens)), int(factor * float64(w.Waiting))}
	}
	return out
}
