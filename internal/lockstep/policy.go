package lockstep

import "time"

// Options say when a switch earns its cost.
type Options struct {
	// CopyPrice is the skew of one set that a copy of one expert must save to be made.
	CopyPrice float64
	// LeastGain is the skew that a new map must save over the present one.
	LeastGain float64
	// LeastCounts is what the estimate must rest on.
	LeastCounts float64
}

// DefaultOptions suit drifts of some seconds.
//
// CopyPrice: on a group of 16 ranks a switch of 30 copies must save 0.06 of skew at least. LeastGain: two estimates of
// the same demand differ by about as much.
func DefaultOptions() Options {
	return Options{CopyPrice: 0.06, LeastGain: 0.08, LeastCounts: 2000}
}

// Plan is a switch that is worth its cost.
type Plan struct {
	Placement Placement
	// Before and After are the skews of the present and the new placement under the estimated demand.
	Before, After float64
	// Copies counts the experts to load over all ranks; MostCopies is the most on one rank.
	Copies, MostCopies int
}

// Decide returns a plan, or nil if the present placement stays; before is its skew under the estimated demand.
func Decide(o Options, from Placement, d *Demand, speed []float64, room Room) (plan *Plan, before float64) {
	demand := d.Value()
	if demand == nil || len(demand) != len(from) || d.Total() < o.LeastCounts {
		return nil, 0
	}
	before = Skew(from, demand, speed)
	to := Balance(from, demand, speed, room, o.CopyPrice)
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
