package lockstep

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Options say when a switch earns its cost.
type Options struct {
	// BytePrice is what moving a gigabyte must save: skew of the whole group, times its ranks.
	BytePrice float64
	// LeastGain is the skew that a new map must save over the present one.
	LeastGain float64
	// LeastCounts is what the estimate must rest on.
	LeastCounts float64
}

// DefaultOptions suit drifts of some seconds. LeastGain is about as much as two estimates of the same demand differ by.
func DefaultOptions() Options {
	return Options{BytePrice: 0.27, LeastGain: 0.08, LeastCounts: 2000}
}

// copyPrice is the skew of one set that a copy of an expert must save: what a set saves counts for its part of all sets,
// and the more ranks go faster for it the more it is worth.
func (o Options) copyPrice(bytes float64, sets, ranks int) float64 {
	return o.BytePrice * bytes / gigabyte * float64(sets) / float64(max(1, ranks))
}

const gigabyte = 1e9

// Plan is a switch that is worth its cost.
type Plan struct {
	Placement Placement
	// Before and After are the skews of the present and the new placement under the estimated demand.
	Before, After float64
	// Copies counts the experts to load over all ranks; MostCopies is the most on one rank.
	Copies, MostCopies int
}

// Decide returns a plan, or nil if the present placement stays; before is its skew under the estimated demand.
func Decide(o Options, from Placement, d *Demand, speed []float64, x *catalog.Experts) (plan *Plan, before float64) {
	demand := d.Value()
	if demand == nil || len(demand) != len(from) || d.Total() < o.LeastCounts {
		return nil, 0
	}
	before = Skew(from, demand, speed)
	room := Room{Placements: x.Placements, Spare: x.Spare}
	to := Balance(from, demand, speed, room, o.copyPrice(x.Bytes, len(from), len(speed)))
	after := Skew(to, demand, speed)
	if before-after < o.LeastGain {
		return nil, before
	}
	return &Plan{
		Placement: to, Before: before, After: after,
		Copies: Copies(from, to), MostCopies: MostCopies(from, to),
	}, before
}

// CopyTime is how long the ranks take to prepare a plan.
func (p *Plan) CopyTime(expert time.Duration) time.Duration {
	return time.Duration(p.MostCopies) * expert
}
