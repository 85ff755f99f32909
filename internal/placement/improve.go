package placement

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/placement/expert"
)

const (
	// planMinutes is for how long the loads of one plan may last at the limit of bytes a minute.
	planMinutes = 3
	// reserveShare is the part of a rank's slots that a plan leaves free, so that the next one has room to load.
	reserveShare = 1.0 / 32
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

func candidate(g Group, o Options, old *draft) *draft {
	next := old.clone()
	next.even()
	s := &search{draft: next, free: make([]int, len(old.used)), added: map[[2]int]bool{}}
	for r, used := range old.used {
		s.free[r] = g.Slots - used
	}
	s.loads = int(planBytes(o, g) / g.ExpertBytes)
	if s.loads == 0 || o.Horizon <= 0 {
		return next
	}
	s.price = o.MoveWeight * float64(g.ExpertBytes) / gigabyte / o.Horizon.Seconds()
	s.run()
	limit := g.Slots - max(1, int(reserveShare*float64(g.Slots)))
	for rank := range next.used {
		next.trimRank(rank, limit, func(l, e int) bool { return s.added[[2]int{g.Shape.Cell(l, e), rank}] })
	}
	return next
}

// planBytes is what the loads of one plan may take from the store.
func planBytes(o Options, g Group) uint64 {
	return planMinutes * min(o.MaxBytesPerMinute, g.StoreRate*60)
}
