package placement

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// shareSweeps bounds the rounds in which the shares of a layer are evened out.
	shareSweeps = 6
	// settled is the change of a rank's time, relative to the layer's mean, below which shares are not evened further.
	settled = 1e-4
)

// layer is one layer of a map while it is searched. Loads and shares are parts of the layer's tokens.
type layer struct {
	pop   []float64
	speed []float64
	// holders lists the ranks of each expert in ascending order, and shares what each takes of all tokens.
	holders [][]int
	shares  [][]float64
	load    []float64
}

func newLayer(pop, speed []float64) *layer {
	return &layer{
		pop: pop, speed: speed,
		holders: make([][]int, len(pop)), shares: make([][]float64, len(pop)),
		load: make([]float64, len(speed)),
	}
}

// layerOf returns layer number l of m under the given popularity.
func layerOf(m *expert.Map, l int, pop, speed []float64) *layer {
	ly := newLayer(pop, speed)
	for e := range pop {
		for _, r := range m.At(l, e) {
			part := pop[e] * float64(r.Share) / expert.ShareUnit
			ly.holders[e] = append(ly.holders[e], r.Rank)
			ly.shares[e] = append(ly.shares[e], part)
			ly.load[r.Rank] += part
		}
	}
	return ly
}

// clone copies what a search may change. Lists of holders are replaced and never changed in place, so they are shared.
func (ly *layer) clone() *layer {
	c := *ly
	c.holders = slices.Clone(ly.holders)
	c.load = slices.Clone(ly.load)
	c.shares = make([][]float64, len(ly.shares))
	flat := make([]float64, 0, 2*len(ly.shares))
	for e, s := range ly.shares {
		from := len(flat)
		flat = append(flat, s...)
		c.shares[e] = flat[from:len(flat):len(flat)]
	}
	return &c
}

// time returns how long the rank takes, where 1 is all tokens at speed 1. A rank that cannot work takes for ever.
func (ly *layer) time(rank int) float64 {
	if ly.load[rank] <= 0 {
		return 0
	}
	if ly.speed[rank] <= 0 {
		return math.Inf(1)
	}
	return ly.load[rank] / ly.speed[rank]
}

// slowest returns the rank that takes longest, and its time.
func (ly *layer) slowest() (rank int, t float64) {
	for r := range ly.load {
		if rt := ly.time(r); rt > t {
			rank, t = r, rt
		}
	}
	return rank, t
}

// roughness is the sum of squared loads over speeds; it falls with each step towards balance, also where the slowest
// rank's time does not yet because another rank is as slow.
func (ly *layer) roughness() float64 {
	sum := 0.0
	for r, load := range ly.load {
		if load > 0 {
			sum += load * ly.time(r)
		}
	}
	return sum
}

// add gives the expert a replica on the rank, with no share yet.
func (ly *layer) add(e, rank int) {
	i, _ := slices.BinarySearch(ly.holders[e], rank)
	ly.holders[e] = slices.Insert(slices.Clone(ly.holders[e]), i, rank)
	ly.shares[e] = slices.Insert(slices.Clone(ly.shares[e]), i, 0)
	if len(ly.holders[e]) == 1 {
		ly.shares[e][0] = ly.pop[e]
		ly.load[rank] += ly.pop[e]
	}
}

// remove takes the expert's replica from the rank and gives its share to the replica that finishes first.
func (ly *layer) remove(e, rank int) {
	i := slices.Index(ly.holders[e], rank)
	part := ly.shares[e][i]
	ly.load[rank] -= part
	ly.holders[e] = slices.Delete(slices.Clone(ly.holders[e]), i, i+1)
	ly.shares[e] = slices.Delete(slices.Clone(ly.shares[e]), i, i+1)
	if len(ly.holders[e]) == 0 {
		return
	}
	to := 0
	for j, r := range ly.holders[e] {
		if ly.time(r) < ly.time(ly.holders[e][to]) {
			to = j
		}
	}
	ly.shares[e][to] += part
	ly.load[ly.holders[e][to]] += part
}

// holds reports whether the rank has a replica of the expert.
func (ly *layer) holds(e, rank int) bool { return slices.Contains(ly.holders[e], rank) }

// even spreads the tokens of replicated experts so that the holders of each finish together. The sum of squares that it
// lowers expert by expert is convex, so that it nears the one best spread whatever the order.
func (ly *layer) even() {
	limit := settled / floats.Sum(ly.speed)
	for range shareSweeps {
		change := 0.0
		for e := range ly.holders {
			if len(ly.holders[e]) > 1 {
				change = max(change, ly.fill(e))
			}
		}
		if change < limit {
			return
		}
	}
}

// fill spreads one expert over its holders as water fills vessels, and returns the largest change of a share.
func (ly *layer) fill(e int) float64 {
	holders, parts := ly.holders[e], ly.shares[e]
	for i, r := range holders {
		ly.load[r] -= parts[i]
	}
	level := ly.level(e)
	change := 0.0
	for i, r := range holders {
		part := max(0, level*ly.speed[r]-ly.load[r])
		change = max(change, math.Abs(part-parts[i]))
		parts[i] = part
		ly.load[r] += part
	}
	return change
}

// level returns the time at which the holders of e finish together, given what else they carry. A holder that carries
// more than that takes no part, so the busiest ones are left out one by one.
func (ly *layer) level(e int) float64 {
	work, speed := ly.pop[e], 0.0
	active := append(make([]int, 0, len(ly.holders[e])), ly.holders[e]...)
	for _, r := range active {
		work += ly.load[r]
		speed += ly.speed[r]
	}
	for len(active) > 1 {
		i := ly.busiest(active)
		r := active[i]
		if ly.time(r) <= work/speed {
			break
		}
		work -= ly.load[r]
		speed -= ly.speed[r]
		active = slices.Delete(active, i, i+1)
	}
	return work / speed
}

// busiest returns the index of the rank that takes longest.
func (ly *layer) busiest(ranks []int) int {
	worst := 0
	for i, r := range ranks {
		if ly.time(r) > ly.time(ranks[worst]) {
			worst = i
		}
	}
	return worst
}

// replicas returns the replicas of an expert with whole shares; what rounding leaves goes to the largest.
func (ly *layer) replicas(e int) []expert.Replica {
	out := make([]expert.Replica, len(ly.holders[e]))
	left, largest := expert.ShareUnit, 0
	sum := floats.Sum(ly.shares[e])
	for i, r := range ly.holders[e] {
		out[i] = expert.Replica{Rank: r}
		if sum > 0 {
			out[i].Share = int(ly.shares[e][i] / sum * expert.ShareUnit)
		}
		left -= out[i].Share
		if out[i].Share > out[largest].Share {
			largest = i
		}
	}
	out[largest].Share += left
	return out
}
