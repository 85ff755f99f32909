package lockstep

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Options configures when a switch is worth its cost.
type Options struct {
	// CopyPrice is the minimum saving for each second that one rank spends loading experts: skew of the whole group
	// multiplied by its number of ranks, for passes that consist of experts' work only.
	CopyPrice float64
	// MinGain is the minimum skew that a new map must save over the current one.
	MinGain float64
	// MinCounts is the minimum number of counts behind the estimate.
	MinCounts float64
}

// DefaultOptions returns options for demand that drifts within some seconds. MinGain is about the difference between
// two estimates of the same demand.
func DefaultOptions() Options {
	return Options{CopyPrice: 1.2, MinGain: 0.08, MinCounts: 2000}
}

// copyPrice returns the skew of one set that a copy of an expert must save. The skew of one set counts for its share
// of all sets. A saving is worth more the more ranks it speeds up and the larger the experts' share of a pass is.
func (o Options) copyPrice(copyTime time.Duration, sets, ranks int, share float64) float64 {
	return o.CopyPrice * copyTime.Seconds() * float64(sets) / (float64(max(1, ranks)) * max(minShare, share))
}

// minShare is the lower bound of the experts' share of a pass, for a group that has hardly any work.
const minShare = 0.05

// expertShare returns the share of a normal pass that experts' work takes according to the engine's performance
// model, for the given number of running requests per rank.
func expertShare(e *catalog.Engine, running float64) float64 {
	work := running * e.StepPerRequest.Seconds()
	if total := e.StepBase.Seconds() + work; total > 0 {
		return e.Experts.Share * work / total
	}
	return e.Experts.Share
}

// Plan is a switch that is worth its cost.
type Plan struct {
	Placement Placement
	// Before and After are the skews of the current and the new placement under the estimated demand.
	Before, After float64
	// Copies is the number of experts to load over all ranks, MaxCopies the maximum on one rank.
	Copies, MaxCopies int
}

// Decide returns a plan, or nil if the current placement should stay. before is the skew of the current placement
// under the estimated demand, 0 if there are too few counts. share is the share of a pass that experts' work takes.
func Decide(o Options, from Placement, d *Demand, speed []float64, x *catalog.Experts, share float64) (plan *Plan, before float64) {
	demand := d.Value()
	if demand == nil || len(demand) != len(from) || d.Total() < o.MinCounts {
		return nil, 0
	}
	before = Skew(from, demand, speed)
	limits := RankLimits{MaxPerRank: x.MaxPerRank, Spare: x.Spare}
	to := Balance(from, demand, speed, limits, o.copyPrice(x.CopyTime, len(from), len(speed), share))
	after := Skew(to, demand, speed)
	if before-after < o.MinGain {
		return nil, before
	}
	return &Plan{
		Placement: to, Before: before, After: after,
		Copies: Copies(from, to), MaxCopies: MaxCopies(from, to),
	}, before
}

// CopyTime returns how long the ranks take to prepare a plan, given the time to load one expert.
func (p *Plan) CopyTime(expert time.Duration) time.Duration {
	return time.Duration(p.MaxCopies) * expert
}
