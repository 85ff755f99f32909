package lockstep

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Options say when a switch earns its cost.
type Options struct {
	// CopyPrice is what a second in which one rank loads experts must save: skew of the whole group, times its ranks, if a pass
	// had no other work than that of experts.
	CopyPrice float64
	// MinGain is the skew that a new map must save over the present one.
	MinGain float64
	// MinCounts is what the estimate must rest on.
	MinCounts float64
}

// DefaultOptions suit drifts of some seconds. MinGain is about as much as two estimates of the same demand differ by.
func DefaultOptions() Options {
	return Options{CopyPrice: 1.2, MinGain: 0.08, MinCounts: 2000}
}

// copyPrice is the skew of one set that a copy of an expert must save: what a set saves counts for its part of all sets, and the
// more ranks go faster for it, and the more of a pass is the experts', the more it is worth.
func (o Options) copyPrice(copyTime time.Duration, sets, ranks int, part float64) float64 {
	return o.CopyPrice * copyTime.Seconds() * float64(sets) / (float64(max(1, ranks)) * max(minShare, part))
}

// minShare stands for the part of a group that has hardly any work.
const minShare = 0.05

// expertShare is the part of a usual pass that experts' work takes, by the engine's published model, with so many requests that
// write at each rank.
func expertShare(e *catalog.Engine, running float64) float64 {
	work := running * e.StepPerRequest.Seconds()
	if all := e.StepBase.Seconds() + work; all > 0 {
		return e.Experts.Share * work / all
	}
	return e.Experts.Share
}

// Plan is a switch that is worth its cost.
type Plan struct {
	Placement Placement
	// Before and After are the skews of the present and the new placement under the estimated demand.
	Before, After float64
	// Copies counts the experts to load over all ranks; MaxCopies is the most on one rank.
	Copies, MaxCopies int
}

// Decide returns a plan, or nil if the present placement stays; before is its skew under the estimated demand. part is the part of a
// pass that experts' work takes.
func Decide(o Options, from Placement, d *Demand, speed []float64, x *catalog.Experts, part float64) (plan *Plan, before float64) {
	demand := d.Value()
	if demand == nil || len(demand) != len(from) || d.Total() < o.MinCounts {
		return nil, 0
	}
	before = Skew(from, demand, speed)
	room := RankLimits{Placements: x.Placements, Spare: x.Spare}
	to := Balance(from, demand, speed, room, o.copyPrice(x.CopyTime, len(from), len(speed), part))
	after := Skew(to, demand, speed)
	if before-after < o.MinGain {
		return nil, before
	}
	return &Plan{
		Placement: to, Before: before, After: after,
		Copies: Copies(from, to), MaxCopies: MaxCopies(from, to),
	}, before
}

// CopyTime is how long the ranks take to prepare a plan.
func (p *Plan) CopyTime(expert time.Duration) time.Duration {
	return time.Duration(p.MaxCopies) * expert
}
