package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// RoomError says that the ranks that work have too little memory for every expert.
type RoomError struct {
	// Needed and Slots count experts over all layers.
	Needed, Slots int
}

// Error implements error.
func (e *RoomError) Error() string {
	return fmt.Sprintf("no room: %d experts for %d memory slots", e.Needed, e.Slots)
}

// Pack works out a map from nothing: for each layer it gives replicas to the experts with the most tokens for each
// replica, then places replicas, heaviest first, on the rank that would finish first. Each rank uses at most slots
// memory slots, spread evenly over the layers. It is the first map of a group, and the baseline that moves most.
func Pack(g Group, slots int, pop, speed []float64, version uint64) (*expert.Map, error) {
	d := &draft{group: g, speed: speed, used: make([]int, g.Shape.Ranks)}
	n := g.Shape.Experts
	for l := range g.Shape.Layers {
		ly := newLayer(pop[l*n:(l+1)*n], speed)
		room := layerRoom(g.Shape, slots, speed, l, d.used)
		if err := packLayer(ly, room, d.used); err != nil {
			return nil, err
		}
		ly.even()
		d.layers = append(d.layers, ly)
	}
	return d.build(version)
}

// layerRoom returns what each rank may use for layer l so that its slots last for all layers.
func layerRoom(shape expert.Shape, slots int, speed []float64, l int, used []int) []int {
	room := make([]int, len(speed))
	for r, v := range speed {
		if v > 0 {
			room[r] = max(0, slots*(l+1)/shape.Layers-used[r])
		}
	}
	return room
}

func packLayer(ly *layer, room, used []int) error {
	total := 0
	for _, n := range room {
		total += n
	}
	if total < len(ly.pop) {
		return &RoomError{len(ly.pop), total}
	}
	copies := copiesFor(ly.pop, total, ranksWithRoom(room))
	order := make([]int, len(ly.pop))
	for e := range order {
		order[e] = e
	}
	each := func(e int) float64 { return ly.pop[e] / float64(copies[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(each(b), each(a)) })
	for i, e := range order {
		for c := range copies[e] {
			r := placeFor(ly, e, room)
			if r < 0 && c > 0 {
				break
			}
			if r < 0 {
				return &RoomError{len(order) - i, 0}
			}
			ly.put(e, r, each(e))
			room[r]--
			used[r]++
		}
	}
	for e := range ly.pop {
		ly.fill(e)
	}
	return nil
}

func ranksWithRoom(room []int) int {
	n := 0
	for _, free := range room {
		if free > 0 {
			n++
		}
	}
	return n
}

// copiesFor hands out replicas one by one to the expert with the most tokens for each replica.
func copiesFor(pop []float64, total, most int) []int {
	copies := make([]int, len(pop))
	for e := range copies {
		copies[e] = 1
	}
	for range total - len(pop) {
		best := -1
		for e, p := range pop {
			if copies[e] >= most {
				continue
			}
			if best < 0 || p*float64(copies[best]) > pop[best]*float64(copies[e]) {
				best = e
			}
		}
		if best < 0 {
			break
		}
		copies[best]++
	}
	return copies
}

// placeFor returns the rank with room that finishes first and does not hold e; -1 if there is none.
func placeFor(ly *layer, e int, room []int) int {
	best, first := -1, math.Inf(1)
	for r, free := range room {
		if free > 0 && !ly.holds(e, r) && ly.time(r) < first {
			best, first = r, ly.time(r)
		}
	}
	return best
}

// put adds a replica with a given part of the layer's tokens.
func (ly *layer) put(e, rank int, part float64) {
	i, _ := slices.BinarySearch(ly.holders[e], rank)
	ly.holders[e] = slices.Insert(ly.holders[e], i, rank)
	ly.shares[e] = slices.Insert(ly.shares[e], i, part)
	ly.load[rank] += part
}
