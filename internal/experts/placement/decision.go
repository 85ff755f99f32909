package placement

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// PlanTimeout is the time after which a caller should drop a plan of CauseSkew whose weights are not all loaded, and
// call Decide again. The benchmark of package rebalance uses it; package rebalance itself limits a switch by its own
// switchTimeout, which has the same value. It guards against this failure: a rank that has to load weights slows down
// after the plan was made, has no slack left to load in, and the group keeps its old map, with the slow rank, for as
// long as the plan waits. At the limit of bytes per minute a plan takes three minutes.
const PlanTimeout = 5 * time.Minute

// Reason is the reason to keep the current map.
type Reason string

// The reasons to keep the current map.
const (
	// ReasonPaused: the operator has paused rebalancing.
	ReasonPaused Reason = "paused"
	// ReasonNoData: too few windows of tokens are complete to distinguish a gain from noise, or the caller made no
	// decision in this round.
	ReasonNoData Reason = "no-data"
	// ReasonNoGain: no better map was found.
	ReasonNoGain Reason = "no-gain"
	// ReasonHysteresis: the better map saves less skew than Options.Hysteresis.
	ReasonHysteresis Reason = "below-hysteresis"
	// ReasonNoise: the better map saves no more than noise alone could explain.
	ReasonNoise Reason = "within-noise"
	// ReasonPayback: the moves would not pay back within Options.Horizon.
	ReasonPayback Reason = "no-payback"
	// ReasonNoCapacity: the memory of the working ranks cannot hold every expert.
	ReasonNoCapacity Reason = "no-room"
)

// Cause is the reason for a plan.
type Cause string

// The causes of plans.
const (
	// CauseSkew: the plan saves step time.
	CauseSkew Cause = "skew"
	// CauseStall: the plan removes all experts from stalled ranks.
	CauseStall Cause = "stalled-rank"
)

// Plan is a new map with the moves that produce it from the current one.
type Plan struct {
	Cause Cause
	Map   *expert.Map
	// Moves are in the sequence in which they are carried out. With CauseSkew, loads come first and drops come last,
	// after the switch. With CauseStall, drops come first: the group is stalled anyway, and the freed memory may be
	// needed.
	Moves []expert.Move
	// Bytes is the number of bytes that the loads read from the weight store.
	Bytes uint64
}

// Decision is the result of Policy.Decide, with the figures behind it.
type Decision struct {
	// Plan is nil if the current map stays.
	Plan *Plan
	// Stay is the reason to keep the current map; it is empty if there is a plan.
	Stay Reason
	// Skew is the skew of the current map under the estimated popularity, and Target that of the best map found.
	Skew, Target float64
	// Noise is the skew that noise alone would cause.
	Noise float64
	// Stalled lists the ranks that count as permanently stalled.
	Stalled []int
}
