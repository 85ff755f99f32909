package claims

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Options bounds a Ledger.
type Options struct {
	// Incarnation is the life of the slot process; a restarted slot has another one and owns no claim of the last.
	Incarnation ids.Incarnation
	// MaxBatch is the most claims and outcomes in one transaction.
	MaxBatch int
	// Interval is the shortest time between the starts of two transactions: it bounds the write rate of the slot.
	Interval time.Duration
	// OutcomeDelay is for how long an outcome waits for claims to share a transaction with.
	OutcomeDelay time.Duration
	// MaxInFlight is the most transactions without an answer.
	MaxInFlight int
	// MaxOutcomeBytes is the largest body that is kept; of a larger one only the status is.
	MaxOutcomeBytes int
	// MaxLive is the most claims in memory; more are refused as overloaded.
	MaxLive int
	// ResendDelay is the first wait before a transaction with a lost answer is sent again; it doubles up to a second.
	ResendDelay time.Duration
	// Margin is the largest difference between two hosts' clocks that is allowed for.
	Margin time.Duration
	// SweepInterval is how often a Store removes expired claims; 0 for never. SweepWrites bounds each time.
	SweepInterval time.Duration
	SweepWrites   int
	// Metrics gets the counters of a Store; nil for the default set.
	Metrics *metrics.Set
	// NewOperation draws the id of a transaction.
	NewOperation func() ids.Operation
}

// DefaultOptions returns the options of a slot in a deployment with at most 15 slots of non-repeatable services, which
// together write no more than 300 transactions a second; IntervalFor gives the interval for more.
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

// IntervalFor returns the Options.Interval with which so many slots stay within a deployment's share of the table's
// writes a second, but no less than shortest.
func IntervalFor(slots int, writesPerSecond float64, shortest time.Duration) time.Duration {
	each := time.Duration(float64(slots) / writesPerSecond * float64(time.Second))
	return max(each, shortest)
}
