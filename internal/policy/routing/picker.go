package routing

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Request is what a policy may know about a request.
type Request struct {
	// First says that it is of the first class (rank 0), which engines serve before all others.
	First bool
	// Blocks are the chained hashes of the prompt's leading blocks, from prefix.Hash; empty without a prompt.
	Blocks []uint64
	// BlockTokens is how many prompt tokens one block stands for.
	BlockTokens int
	// PromptTokens and OutputTokens are the estimated sizes.
	PromptTokens, OutputTokens int
	// Version names the model version that the request needs; empty means any.
	Version string
	// Adapter names the adapter that the request needs; empty means none.
	Adapter string
	// Exclude names upstreams that failed earlier attempts of this request.
	Exclude []ids.Upstream
	// Rand is a random number drawn for this pick; policies take all their randomness from it.
	Rand uint64
}

// Estimate returns the sizes for Work.Start, with the part of the prompt that is believed to be cached.
func (r *Request) Estimate(cached int) Estimate {
	return Estimate{First: r.First, PromptTokens: r.PromptTokens, CachedTokens: cached, OutputTokens: r.OutputTokens}
}

// Choice is where a request goes.
type Choice struct {
	Upstream *Upstream
	// Wait is the expected time to the first token; zero if the policy does not estimate it.
	Wait time.Duration
	// Ahead is the prompt tokens that the policy believes to be ahead of the request; see Overtaken.
	Ahead int
	// Estimate is what Work.Start takes; its CachedTokens is the part of the prompt believed to be cached.
	Estimate Estimate
}

// The rule by which a slot sends a request of the first class back.
const (
	// OvertakenTokens is how many more prompt tokens than believed may be ahead.
	OvertakenTokens = 500
	// MaxOvertaken is how often one request may be sent back.
	MaxOvertaken = 2
)

// Overtaken reports whether a slot should refuse a request before its start, with a fresh report, because other
// entries' work came first. Entries learn of each other's requests after tens of milliseconds, about as long as a
// prompt takes, so two of them often send to the same idle upstream; one more way to another is shorter than the wait.
// believed is the Choice's Ahead, actual what the slot counts, times how often the request was sent back already.
func Overtaken(first bool, believed, actual, times int) bool {
	return first && times < MaxOvertaken && actual > believed+OvertakenTokens
}

// Picker chooses an upstream for each request. It is immutable and safe for concurrent use.
type Picker interface {
	// Pick returns *failure.Error with CodeNoUpstream, wrapping *NoUpstreamError, if nothing is usable.
	Pick(req *Request, now time.Time) (Choice, error)
}

// NoUpstreamError says why no upstream was usable.
type NoUpstreamError struct {
	// Known counts the upstreams of the picker.
	Known int
	// Out counts those that health holds out.
	Out int
	// Excluded counts those that already failed the request.
	Excluded int
	// Unloaded counts those that lack the model version.
	Unloaded int
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("of %d upstreams %d are held out, %d already failed the request, %d lack the model version",
		e.Known, e.Out, e.Excluded, e.Unloaded)
}

// Usable returns the upstreams that may take the request, appended to buf.
//
// An upstream with a weight below 1 takes part in that fraction of the picks, so that one that returns after a fault
// is filled slowly. If this leaves nothing, all that health allows take part: a thin share must not refuse callers.
func Usable(all []*Upstream, req *Request, buf []*Upstream) ([]*Upstream, error) {
	usable := buf[:0]
	for i, u := range all {
		if u.accepts(req) && admitted(u.Weight, req.Rand, i) {
			usable = append(usable, u)
		}
	}
	if len(usable) > 0 {
		return usable, nil
	}
	for _, u := range all {
		if u.accepts(req) {
			usable = append(usable, u)
		}
	}
	if len(usable) > 0 {
		return usable, nil
	}
	return nil, failure.New(failure.CodeNoUpstream, explain(all, req))
}

func (u *Upstream) accepts(req *Request) bool {
	return u.Weight > 0 && u.hasVersion(req.Version) && !slices.Contains(req.Exclude, u.ID)
}

func admitted(weight float64, rand uint64, index int) bool {
	if weight >= 1 {
		return true
	}
	return float64(Mix(rand, uint64(index)))/math.MaxUint64 < weight
}

func explain(all []*Upstream, req *Request) *NoUpstreamError {
	e := &NoUpstreamError{Known: len(all)}
	for _, u := range all {
		switch {
		case u.Weight <= 0:
			e.Out++
		case slices.Contains(req.Exclude, u.ID):
			e.Excluded++
		case !u.hasVersion(req.Version):
			e.Unloaded++
		}
	}
	return e
}

// Mix derives a further random number from one that was drawn for a pick.
func Mix(rand, salt uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(rand >> (8 * i))
		b[8+i] = byte(salt >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// Plain returns the choice of u by a policy that neither estimates a wait nor looks at caches.
func Plain(u *Upstream, req *Request) Choice {
	return Choice{Upstream: u, Estimate: req.Estimate(0)}
}
