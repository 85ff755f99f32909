package routing

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
)

// Upstream is an entry's view of one upstream. It is immutable once it is in a picker, except for Work and Cached,
// which are shared by all pickers with the same upstream.
type Upstream struct {
	ID         ids.Upstream
	DataCentre ids.DataCentre
	// Address is the address at which the slot accepts requests, as IP:PORT.
	Address string
	// Weight is the fraction of its normal share that the upstream's health allows: 0 means no new requests, 1 the full
	// share.
	Weight float64
	// Batch is how many requests the upstream runs concurrently.
	Batch int
	// Latency is the one-way network latency from this entry to the slot.
	Latency time.Duration
	// Load is the newest report of the slot.
	Load Load
	// Versions lists the loaded model versions; empty means that the upstream does not report them.
	Versions []string
	// Adapters lists the loaded adapters.
	Adapters []string
	// Work counts what this entry has in flight there; it must not be nil.
	Work *Work
	// Cached holds the prompt blocks that the upstream has probably cached; nil if it caches none.
	Cached *prefix.BlockSet
}

// Counts holds numbers of requests by state, and the work that they still need.
type Counts struct {
	// Waiting requests have not generated a token yet; Running ones have.
	Waiting, Running int
	// PromptTokens is the number of prompt tokens of the waiting requests that still need a prefill: they are not
	// cached, and their prefill is not done.
	PromptTokens int
	// FirstWaiting and FirstPromptTokens are the shares of Waiting and PromptTokens that belong to the first class,
	// which engines serve before all others.
	FirstWaiting, FirstPromptTokens int
	// OutputTokens is the number of tokens that all requests are still expected to generate.
	OutputTokens int
}

// Requests returns the number of requests in flight.
func (c Counts) Requests() int { return c.Waiting + c.Running }

// WaitingAhead returns the number of waiting requests that an engine with priorities serves before a new one; first is
// set for a new request of the first class.
func (c Counts) WaitingAhead(first bool) int {
	if first {
		return c.FirstWaiting
	}
	return c.Waiting
}

// PromptAhead returns the prompt tokens of the requests that WaitingAhead counts.
func (c Counts) PromptAhead(first bool) int {
	if first {
		return c.FirstPromptTokens
	}
	return c.PromptTokens
}

// combine applies f to each pair of counts.
func combine(a, b Counts, f func(a, b int) int) Counts {
	return Counts{
		Waiting:           f(a.Waiting, b.Waiting),
		Running:           f(a.Running, b.Running),
		PromptTokens:      f(a.PromptTokens, b.PromptTokens),
		FirstWaiting:      f(a.FirstWaiting, b.FirstWaiting),
		FirstPromptTokens: f(a.FirstPromptTokens, b.FirstPromptTokens),
		OutputTokens:      f(a.OutputTokens, b.OutputTokens),
	}
}

func add(a, b int) int            { return a + b }
func subtractToZero(a, b int) int { return max(0, a-b) }

// Load is a slot's report about its upstream to one entry.
type Load struct {
	// TakenAt is when the slot took the counts, on this entry's clock; zero if there is no report yet.
	TakenAt time.Time
	// Total counts the work that all entries have in flight there.
	Total Counts
	// Yours is the share of Total that came from the entry that receives the report. The entry replaces it by its own
	// live count, so that only the other entries' work is outdated.
	Yours Counts
	// StepTime is the upstream's recent time per step, which is the time between two tokens of a request.
	StepTime time.Duration
	// PromptTokenTime is its recent prefill time per prompt token that is not cached.
	PromptTokenTime time.Duration
}

// Others returns the reported work of the other entries.
func (l Load) Others() Counts { return combine(l.Total, l.Yours, subtractToZero) }

// CurrentCounts returns the reported work of the other entries plus the live count of this entry.
func (u *Upstream) CurrentCounts() Counts { return combine(u.Work.Counts(), u.Load.Others(), add) }

// HasAdapter reports whether the named adapter is loaded. It is true for the empty name.
func (u *Upstream) HasAdapter(name string) bool {
	return name == "" || slices.Contains(u.Adapters, name)
}

// hasVersion reports whether the named model version is loaded. It is true for the empty name and for an upstream that
// reports no versions.
func (u *Upstream) hasVersion(name string) bool {
	return name == "" || len(u.Versions) == 0 || slices.Contains(u.Versions, name)
}
