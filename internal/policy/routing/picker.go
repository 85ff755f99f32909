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

// Request is the input of a pick.
type Request struct {
	// FirstClass is set for requests of the first priority class (priority 0), which engines serve before all others.
	FirstClass bool
	// Blocks are the chained hashes of the prompt's leading blocks, from prefix.Hash; empty without a prompt.
	Blocks []uint64
	// BlockTokens is the number of prompt tokens in a block.
	BlockTokens int
	// PromptTokens and OutputTokens are the estimated sizes.
	PromptTokens, OutputTokens int
	// Version is the model version that the request needs; empty means any.
	Version string
	// Adapter is the adapter that the request needs; empty means none.
	Adapter string
	// Exclude lists the upstreams that failed earlier attempts of this request.
	Exclude []ids.Upstream
	// Rand is a random number generated for this pick. Policies derive all their randomness from it.
	Rand uint64
}

// Estimate returns the argument of Work.Start; cached is the number of prompt tokens that are probably cached.
func (r *Request) Estimate(cached int) Estimate {
	return Estimate{FirstClass: r.FirstClass, PromptTokens: r.PromptTokens, CachedTokens: cached, OutputTokens: r.OutputTokens}
}

// Choice is the result of a pick.
type Choice struct {
	Upstream *Upstream
	// Wait is the expected time to the first token; zero if the policy does not estimate it.
	Wait time.Duration
	// PromptAhead is the number of prompt tokens whose prefill is expected before that of the request; see Overtaken.
	PromptAhead int
	// Estimate is the argument of Work.Start; its CachedTokens are the prompt tokens that are probably cached.
	Estimate Estimate
}

// Limits of the rule by which a slot sends a request of the first class back.
const (
	// OvertakenTokens is how many more prompt tokens than expected may be ahead.
	OvertakenTokens = 500
	// MaxOvertaken is how often one request may be sent back.
	MaxOvertaken = 2
)

// Overtaken reports whether a slot should refuse a request before its start, with a fresh report, because requests of
// other entries arrived first. Entries receive each other's counts after tens of milliseconds, about the time of a
// prefill, so two of them often choose the same idle upstream. Sending the request to another one then takes less time
// than waiting. expected is the PromptAhead of the Choice, actual the slot's own count, and times is how often the
// request was sent back before.
func Overtaken(first bool, expected, actual, times int) bool {
	return first && times < MaxOvertaken && actual > expected+OvertakenTokens
}

// Picker chooses an upstream for each request. It is immutable and safe for concurrent use.
type Picker interface {
	// Pick returns a *failure.Error with CodeNoUpstream, wrapping *NoUpstreamError, if no upstream is usable.
	Pick(req *Request, now time.Time) (Choice, error)
}

// NoUpstreamError describes why no upstream was usable.
type NoUpstreamError struct {
	// Known is the number of upstreams in the picker.
	Known int
	// ZeroWeight is the number of upstreams with weight 0, which get no new requests because of their health.
	ZeroWeight int
	// Excluded is the number of upstreams that already failed the request.
	Excluded int
	// WithoutVersion is the number of upstreams without the model version.
	WithoutVersion int
}

// Error implements error.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("of %d upstreams %d have weight 0, %d already failed the request, %d lack the model version",
		e.Known, e.ZeroWeight, e.Excluded, e.WithoutVersion)
}

// Usable returns the upstreams that may take the request, appended to buf[:0].
//
// An upstream with a weight below 1 is included in that fraction of the picks, so that load on an upstream that returns
// after a fault rises slowly. If no upstream remains, all those with a weight above 0 are included: a request must not
// be refused because of low weights.
func Usable(all []*Upstream, req *Request, buf []*Upstream) ([]*Upstream, error) {
	usable := buf[:0]
	for i, u := range all {
		if u.accepts(req) && sampled(u.Weight, req.Rand, i) {
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

func sampled(weight float64, rand uint64, index int) bool {
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
			e.ZeroWeight++
		case slices.Contains(req.Exclude, u.ID):
			e.Excluded++
		case !u.hasVersion(req.Version):
			e.WithoutVersion++
		}
	}
	return e
}

// Mix derives another random number from the one of a pick.
func Mix(rand, salt uint64) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(rand >> (8 * i))
		b[8+i] = byte(salt >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// Plain returns the choice of u for policies that neither estimate the wait nor use the prefix cache.
func Plain(u *Upstream, req *Request) Choice {
	return Choice{Upstream: u, Estimate: req.Estimate(0)}
}
