package placement

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// maxPlanMinutes is the longest time that the loads of one plan may take at the limit of bytes per minute.
	maxPlanMinutes = 3
	// reserveShare is the share of a rank's slots that a plan leaves free, so that the next plan has slots to load
	// into.
	reserveShare = 1.0 / 32
	// loadDivisor divides the number of loads to try after the loads tried did not pay back.
	loadDivisor = 4
)

// Improvement is the best map found by Improve.
type Improvement struct {
	Map   *expert.Map
	Moves []expert.Move
	// Before and After are the skew of the current and the new map.
	Before, After float64
}

// Improve searches for a better map under the given popularity (each cell's share of its layer's tokens) and speeds. It
// balances shares, then adds replicas that each pay for their loading, then frees the slots of the replicas that take
// the fewest tokens. A rank's present replicas and those to be loaded must fit in its slots together, because the
// current map is in use until the switch.
func Improve(g Group, o Options, current *expert.Map, pop, speed []float64) (Improvement, error) {
	old := newDraft(g, current, pop, speed)
	next := bestDraft(g, o, old)
	m, err := next.build(current.Version() + 1)
	if err != nil {
		return Improvement{}, fmt.Errorf("build the improved map: %w", err)
	}
	return Improvement{m, expert.Diff(current, m), old.skew(), next.skew()}, nil
}

// bestDraft returns the best draft found. The loads must still pay back after slots are freed, and fewer loads are
// tried if they do not. Otherwise, with memory nearly full, many loads displace replicas that take more tokens than the
// new ones, the complete plan does not pay back, and the map never changes.
func bestDraft(g Group, o Options, old *draft) *draft {
	balanced := old.clone()
	balanced.balance()
	if o.Horizon <= 0 {
		return balanced
	}
	price := o.MoveWeight * float64(g.ExpertBytes) / gigabyte / o.Horizon.Seconds()
	budget := int(min(maxPlanBytes(o, g)/g.ExpertBytes, uint64(g.Slots*g.Shape.Ranks)))
	for budget > 0 {
		next, loads := addLoads(g, old.used, balanced.clone(), price, budget)
		if loads == 0 {
			return balanced
		}
		if balanced.skew()-next.skew() > price*float64(loads) {
			return next
		}
		budget = min(budget, loads) / loadDivisor
	}
	return balanced
}

// addLoads adds up to budget replicas to the draft, frees slots for the next plan, and returns the number of loads.
func addLoads(g Group, used []int, next *draft, price float64, budget int) (*draft, int) {
	s := &search{draft: next, free: make([]int, len(used)), loads: budget, price: price, added: map[[2]int]bool{}}
	for r, n := range used {
		s.free[r] = g.Slots - n
	}
	s.run()
	limit := g.Slots - max(1, int(reserveShare*float64(g.Slots)))
	for rank := range next.used {
		next.trimRank(rank, limit, func(l, e int) bool { return s.added[[2]int{g.Shape.Cell(l, e), rank}] })
	}
	return next, budget - s.loads
}

// maxPlanBytes returns the number of bytes that the loads of one plan may read from the weight store.
func maxPlanBytes(o Options, g Group) uint64 {
	return maxPlanMinutes * min(o.MaxBytesPerMinute, g.StoreRate*60)
}
