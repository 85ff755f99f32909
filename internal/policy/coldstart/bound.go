package coldstart

import "math"

const (
	// viewShare is the part of the bound that the owners in one gateway's view use. The other half is for owners in the
	// views of gateways that do not know the same members yet, or are cut off.
	viewShare = 0.5
	// minBudget is how much of the rate, in requests in any second, the owners may use where viewShare of the bound is less.
	minBudget = 0.88
	// minUse is the smallest part of the rate for which the requests are divided among more gateways.
	minUse = 0.81
	// lagSeconds is how long a request that waits for a permit may be noticed late without loss: one tick of the control
	// loop.
	lagSeconds = 0.05
	// roundingMargin keeps the most that an owner sends in a second strictly below the next whole number.
	roundingMargin = 0.001
)

// Bound is the rate of requests that a cold upstream takes, and what it gets at most in any second: PerSecond times
// Overshoot, and Slack more.
type Bound struct {
	PerSecond, Overshoot, Slack float64
}

// Most returns the number of requests that a cold upstream may get in any second.
func (b Bound) Most() int { return int(b.PerSecond*b.Overshoot + b.Slack) }

// Part is what each owner of a cold upstream may send: PerSecond, with up to Burst requests saved up.
type Part struct {
	Owners           int
	PerSecond, Burst float64
}

// MostEach returns the number of requests that one owner sends at most in any second.
func (p Part) MostEach() int { return int(p.PerSecond + p.Burst) }

// Divide returns the part of each owner where a number of gateways send to the upstream. There are no owners if the bound
// permits no request.
//
// Each owner sends a whole number of requests in a second, so the number of owners matters: 7 owners of 2.4 requests a second
// each may send 3 in the same second, 21 in all. Divide selects the most owners that use enough of the rate, because only
// gateways with a part can send.
func (b Bound) Divide(members int) Part {
	budget := b.budget()
	best := Part{}
	for owners := min(members, budget); owners > 0; owners-- {
		p := b.part(owners, budget/owners)
		use := float64(owners) * p.PerSecond
		if use >= minUse*b.PerSecond {
			return p
		}
		if use > float64(best.Owners)*best.PerSecond {
			best = p
		}
	}
	return best
}

// part returns the part of an owner that may send most requests in any second.
func (b Bound) part(owners, most int) Part {
	perSecond := min(b.PerSecond/float64(owners), (1-roundingMargin)*float64(most)/(1+lagSeconds))
	return Part{owners, perSecond, 1 + lagSeconds*perSecond}
}

// budget returns how many requests all owners in one gateway's view may send in any second.
func (b Bound) budget() int {
	most := b.Most()
	half := int(viewShare * float64(most))
	return min(most, max(half, int(math.Ceil(minBudget*b.PerSecond))))
}
