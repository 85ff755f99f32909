package routing

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
)

// Upstream is the state of one upstream as one entry sees it. It is immutable once it is in a picker, but for Work
// and Cached, which are shared by all pickers that name the same upstream.
type Upstream struct {
	ID         ids.Upstream
	DataCentre ids.DataCentre
	// Address is where its slot takes work, as IP:PORT.
	Address string
	// Weight is the part of its usual share that health allows: 0 means no new work, 1 all of it.
	Weight float64
	// Batch is how many requests the upstream runs at once.
	Batch int
	// Distance is the time of one way from this entry to the slot.
	Distance time.Duration
	// Load is the newest report of the slot.
	Load Load
	// Versions are the model versions loaded; empty means that the upstream does not tell.
	Versions []string
	// Adapters are the adapters loaded.
	Adapters []string
	// Work is what this entry has in flight there; it must not be nil.
	Work *Work
	// Cached holds the prompt blocks that the upstream probably has cached; nil if it caches none.
	Cached *prefix.Table
}

// Counts is a number of requests, split by what they are doing, and the work that they still need.
type Counts struct {
	// Waiting requests have no token yet; Running ones have their first.
	Waiting, Running int
	// PromptTokens are the prompt tokens of the waiting requests that are not cached and not yet computed.
	PromptTokens int
	// FirstWaiting and FirstPromptTokens are the part of Waiting and PromptTokens that is of the first class, which
	// engines serve before all others.
	FirstWaiting, FirstPromptTokens int
	// OutputTokens are the tokens that all requests are still expected to generate.
	OutputTokens int
}

// Requests returns all requests in flight.
func (c Counts) Requests() int { return c.Waiting + c.Running }

// WaitingAhead returns the waiting requests that an engine which honours priorities serves before a new one.
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

func add(a, b int) int       { return a + b }
func remainder(a, b int) int { return max(0, a-b) }

// Load is what a slot reports about its upstream to one entry.
type Load struct {
	// TakenAt is when the slot took the counts, on this entry's clock; zero if there was no report yet.
	TakenAt time.Time
	// Total counts what all entries have in flight there.
	Total Counts
	// Yours is the part of Total that came from the entry that the report is for. An entry replaces it by its live
	// count, so that the lag touches only what other entries sent.
	Yours Counts
	// StepTime is the upstream's recent time per step, which is the time between two tokens of one request.
	StepTime time.Duration
	// PromptTokenTime is its recent time to compute one prompt token that is not cached.
	PromptTokenTime time.Duration
}

// Others returns the part of the report that other entries sent.
func (l Load) Others() Counts { return combine(l.Total, l.Yours, remainder) }

// Now returns the load with the live count of this entry in place of the reported one.
func (u *Upstream) Now() Counts { return combine(u.Work.Counts(), u.Load.Others(), add) }

// HasAdapter reports whether the named adapter is loaded; the empty name always is.
func (u *Upstream) HasAdapter(name string) bool {
	return name == "" || slices.Contains(u.Adapters, name)
}

// hasVersion reports whether the named model version is loaded; an upstream that tells none is taken at its word.
func (u *Upstream) hasVersion(name string) bool {
	return name == "" || len(u.Versions) == 0 || slices.Contains(u.Versions, name)
}
