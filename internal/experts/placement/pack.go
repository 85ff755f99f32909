package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// CapacityError reports that the working ranks have too little memory for every expert.
type CapacityError struct {
	// Needed is the number of experts of a layer that still need a slot, and Slots the number of free memory slots
	// for them.
	Needed, Slots int
}

// Error implements error.
func (e *CapacityError) Error() string {
	return fmt.Sprintf("not enough capacity: %d experts for %d memory slots", e.Needed, e.Slots)
}

// Pack computes a map from scratch. For each layer it gives additional replicas to the experts with the most tokens
// per replica, then assigns replicas, largest first, to the rank that would finish first. Each rank uses at most
// slots memory slots, spread evenly over the layers. Pack produces the first map of a group. Later it serves as a
// baseline for comparison, because a map from scratch needs the most moves.
func Pack(g Group, slots int, pop, speed []float64, version uint64) (*expert.Map, error) {
	d := &draft{group: g, speed: speed, used: make([]int, g.Shape.Ranks)}
	n := g.Shape.Experts
	for l := range g.Shape.Layers {
		ly := newLayer(pop[l*n:(l+1)*n], speed)
		capacity := layerCapacity(g.Shape, slots, speed, l, d.used)
		if err := packLayer(ly, capacity, d.used); err != nil {
			return nil, err
		}
		ly.balance()
		d.layers = append(d.layers, ly)
	}
	return d.build(version)
}

// layerCapacity returns the number of slots that each rank may use for layer l so that its slots suffice for all
// layers.
func layerCapacity(shape expert.Shape, slots int, speed []float64, l int, used []int) []int {
	capacity := make([]int, len(speed))
	for r, v := range speed {
		if v > 0 {
			capacity[r] = max(0, slots*(l+1)/shape.Layers-used[r])
		}
	}
	return capacity
}

func packLayer(ly *layer, capacity, used []int) error {
	total := 0
	for _, n := range capacity {
		total += n
	}
	if total < len(ly.pop) {
		return &CapacityError{len(ly.pop), total}
	}
	counts := replicaCounts(ly.pop, total, ranksWithCapacity(capacity))
	order := make([]int, len(ly.pop))
	for e := range order {
		order[e] = e
	}
	each := func(e int) float64 { return ly.pop[e] / float64(counts[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(each(b), each(a)) })
	for i, e := range order {
		for c := range counts[e] {
			r := earliestFreeRank(ly, e, capacity)
			if r < 0 && c > 0 {
				break
			}
			if r < 0 {
				return &CapacityError{len(order) - i, 0}
			}
			ly.put(e, r, each(e))
			capacity[r]--
			used[r]++
		}
	}
	for e := range ly.pop {
		ly.waterFill(e)
	}
	return nil
}

func ranksWithCapacity(capacity []int) int {
	n := 0
	for _, free := range capacity {
		if free > 0 {
			n++
		}
	}
	return n
}

// replicaCounts returns the number of replicas of each expert: one, plus the remaining slots, each given to the
// expert with the most tokens per replica.
func replicaCounts(pop []float64, total, maxPerExpert int) []int {
	counts := make([]int, len(pop))
	for e := range counts {
		counts[e] = 1
	}
	for range total - len(pop) {
		best := -1
		for e, p := range pop {
			if counts[e] >= maxPerExpert {
				continue
			}
			if best < 0 || p*float64(counts[best]) > pop[best]*float64(counts[e]) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		counts[best]++
	}
	return counts
}

// earliestFreeRank returns the rank with free capacity that finishes first and does not hold e, or -1 if there is
// none.
func earliestFreeRank(ly *layer, e int, capacity []int) int {
	best, first := -1, math.Inf(1)
	for r, free := range capacity {
		if free > 0 && !ly.holds(e, r) && ly.time(r) < first {
			best, first = r, ly.time(r)
		}
	}
	return best
}

// put adds a replica with the given share of the layer's tokens.
func (ly *layer) put(e, rank int, share float64) {
	i, _ := slices.BinarySearch(ly.holders[e], rank)
	ly.holders[e] = slices.Insert(ly.holders[e], i, rank)
	ly.shares[e] = slices.Insert(ly.shares[e], i, share)
	ly.load[rank] += share
}
