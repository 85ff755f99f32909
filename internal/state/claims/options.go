package claims

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Options configures a Ledger and a Store.
type Options struct {
	// Incarnation identifies this run of the slot process. A restarted slot has a new incarnation and does not own the
	// claims of the previous one.
	Incarnation ids.Incarnation
	// MaxBatch is the maximum number of claims and outcomes in one transaction.
	MaxBatch int
	// Interval is the minimum time between the starts of two transactions. It bounds the write rate of the slot.
	Interval time.Duration
	// OutcomeDelay is the time that an outcome waits for claims to share a transaction with.
	OutcomeDelay time.Duration
	// MaxInFlight is the maximum number of transactions without a response.
	MaxInFlight int
	// MaxOutcomeBytes is the size of the largest response body that is stored. For a larger body only the status is
	// stored.
	MaxOutcomeBytes int
	// MaxLive is the maximum number of claims in memory; further ones are refused as overloaded.
	MaxLive int
	// ResendDelay is the initial delay before a transaction with a lost response is sent again. It doubles with each
	// resend, up to one second.
	ResendDelay time.Duration
	// Margin is the maximum clock difference between two hosts that is tolerated.
	Margin time.Duration
	// SweepInterval is the time between two sweeps for expired claims by a Store; 0 disables them. SweepWrites is the
	// maximum number of transactions per sweep.
	SweepInterval time.Duration
	SweepWrites   int
	// Metrics is the set in which a Store registers its counters; nil selects the default set.
	Metrics *metrics.Set
	// NewOperation generates the operation id of a transaction.
	NewOperation func() ids.Operation
}

// DefaultOptions returns the options of a slot in a deployment with at most 15 slots of non-repeatable services. At the
// default interval these write at most 300 transactions per second in total. For more slots, set Interval from
// IntervalFor.
func DefaultOptions(incarnation ids.Incarnation) Options {
	return Options{
		Incarnation:     incarnation,
		MaxBatch:        128,
		Interval:        50 * time.Millisecond,
		OutcomeDelay:    200 * time.Millisecond,
		MaxInFlight:     4,
		MaxOutcomeBytes: 64 << 10,
		MaxLive:         4096,
		ResendDelay:     50 * time.Millisecond,
		Margin:          5 * time.Second,
		SweepInterval:   time.Minute,
		SweepWrites:     5,
		NewOperation:    ids.NewOperation,
	}
}

// IntervalFor returns the Options.Interval with which the given number of slots together write at most writesPerSecond
// transactions per second. It returns at least minInterval.
func IntervalFor(slots int, writesPerSecond float64, minInterval time.Duration) time.Duration {
	interval := time.Duration(float64(slots) / writesPerSecond * float64(time.Second))
	return max(interval, minInterval)
}
