package placement

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// PlanTimeout is when the caller gives up a plan of CauseSkew whose weights are not all loaded, and asks anew. Failure: a
// rank that is to load slows down after the plan was made, so that it has no slack to load in, and the group keeps its
// old map, with the slow rank, for as long as the plan waits. At the limit of bytes a minute a plan takes three minutes.
const PlanTimeout = 5 * time.Minute

// Reason says why the present map stays.
type Reason string

// The reasons to stay.
const (
	// ReasonPaused: the operator has paused rebalancing.
	ReasonPaused Reason = "paused"
	// ReasonNoData: too few windows of tokens are complete to tell gain from noise.
	ReasonNoData Reason = "no-data"
	// ReasonNoGain: no better map was found.
	ReasonNoGain Reason = "no-gain"
	// ReasonHysteresis: the better map saves less skew than the operator asks for.
	ReasonHysteresis Reason = "below-hysteresis"
	// ReasonNoise: the better map saves no more than noise alone may pretend.
	ReasonNoise Reason = "within-noise"
	// ReasonPayback: the moves would not pay back within the horizon.
	ReasonPayback Reason = "no-payback"
	// ReasonNoRoom: the ranks that work cannot hold every expert.
	ReasonNoRoom Reason = "no-room"
)

// Cause says why a plan was made.
type Cause string

// The causes of plans.
const (
	// CauseSkew: the plan saves step time.
	CauseSkew Cause = "skew"
	// CauseStall: the plan takes all experts from ranks that are stalled.
	CauseStall Cause = "stalled-rank"
)

// Plan is a new map with the moves that lead to it from the present one.
type Plan struct {
	Cause Cause
	Map   *expert.Map
	// Moves are in the order in which they are carried out. After CauseSkew, loads come first and drops last, after the
	// switch. After CauseStall, drops come first, since the group stands still and the room may be needed.
	Moves []expert.Move
	// Bytes is what the loads take from the weight store.
	Bytes uint64
}

// Decision is the answer of Policy.Decide, with the figures that led to it.
type Decision struct {
	// Plan is nil if the present map stays.
	Plan *Plan
	// Stay is the reason to stay, or empty if there is a plan.
	Stay Reason
	// Skew is that of the present map under the estimated popularity, and Target that of the best map found.
	Skew, Target float64
	// Noise is the skew that noise alone would show.
	Noise float64
	// Stalled lists the ranks that are stalled for good.
	Stalled []int
}
