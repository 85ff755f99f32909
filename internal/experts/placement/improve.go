package placement

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// planMinutes is for how long the loads of one plan may last at the limit of bytes a minute.
	planMinutes = 3
	// reserveShare is the part of a rank's slots that a plan leaves free, so that the next one has room to load.
	reserveShare = 1.0 / 32
	// fewerLoads divides the number of loads that are tried after too many did not pay.
	fewerLoads = 4
)

// Improvement is the best map that Improve found.
type Improvement struct {
	Map   *expert.Map
	Moves []expert.Move
	// Before and After are the skew of the present and the new map.
	Before, After float64
}

// Improve looks for a better map under the given popularity (share of each cell in its layer) and speeds. It evens out
// shares, then adds replicas that each pay for their loading, then frees the slots of replicas that do least. What a
// rank holds now and what it is to load fit in its slots together, since the present map is in use until the switch.
func Improve(g Group, o Options, current *expert.Map, pop, speed []float64) (Improvement, error) {
	old := newDraft(g, current, pop, speed)
	next := candidate(g, o, old)
	m, err := next.build(current.Version() + 1)
	if err != nil {
		return Improvement{}, fmt.Errorf("build the improved map: %w", err)
	}
	return Improvement{m, expert.Diff(current, m), old.skew(), next.skew()}, nil
}

// candidate returns the best draft found. Failure: with memory nearly full, many loads push out replicas that do more
// than the new ones, the whole plan looks worthless, and the map stays as it is for ever. So the loads must pay after
// the slots are freed as well, and are tried in smaller numbers if they do not.
func candidate(g Group, o Options, old *draft) *draft {
	even := old.clone()
	even.even()
	if o.Horizon <= 0 {
		return even
	}
	price := o.MoveWeight * float64(g.ExpertBytes) / gigabyte / o.Horizon.Seconds()
	budget := int(min(planBytes(o, g)/g.ExpertBytes, uint64(g.Slots*g.Shape.Ranks)))
	for budget > 0 {
		next, loads := withLoads(g, old.used, even.clone(), price, budget)
		if loads == 0 {
			return even
		}
		if even.skew()-next.skew() > price*float64(loads) {
			return next
		}
		budget = min(budget, loads) / fewerLoads
	}
	return even
}

// withLoads adds up to budget replicas to the draft, frees slots for the next plan, and returns the number of loads.
func withLoads(g Group, used []int, next *draft, price float64, budget int) (*draft, int) {
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

// planBytes is what the loads of one plan may take from the store.
func planBytes(o Options, g Group) uint64 {
	return planMinutes * min(o.MaxBytesPerMinute, g.StoreRate*60)
}
