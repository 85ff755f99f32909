package placement

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// maxShareSweeps bounds the rounds in which the shares of a layer are balanced.
	maxShareSweeps = 6
	// shareTolerance is the largest change of a share in a sweep, relative to the time of a perfectly balanced layer,
	// below which balancing stops.
	shareTolerance = 1e-4
)

// layer is one layer of a draft. Loads and shares are fractions of the layer's tokens.
type layer struct {
	pop   []float64
	speed []float64
	// holders lists the ranks of each expert in ascending order, and shares the fraction of all tokens that each
	// takes.
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

// newLayerFromMap returns layer l of m under the given popularity.
func newLayerFromMap(m *expert.Map, l int, pop, speed []float64) *layer {
	ly := newLayer(pop, speed)
	for e := range pop {
		for _, r := range m.At(l, e) {
			share := pop[e] * float64(r.Share) / expert.ShareUnit
			ly.holders[e] = append(ly.holders[e], r.Rank)
			ly.shares[e] = append(ly.shares[e], share)
			ly.load[r.Rank] += share
		}
	}
	return ly
}

// clone returns a copy for a search to change. The inner slices of holders are replaced and never changed in place
// (only put inserts in place, before the first clone), so the copy shares them.
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

// time returns how long the rank takes, where 1 is the time for all tokens at speed 1. It is infinite for a rank that
// has tokens but speed 0.
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

// imbalance returns the sum over ranks of squared load divided by speed. It falls with each step towards balance,
// even while the slowest rank's time stays the same because another rank is as slow.
func (ly *layer) imbalance() float64 {
	sum := 0.0
	for r, load := range ly.load {
		if load > 0 {
			sum += load * ly.time(r)
		}
	}
	return sum
}

// add adds a replica of the expert on the rank. The replica takes no tokens yet, unless it is the expert's only one.
func (ly *layer) add(e, rank int) {
	i, _ := slices.BinarySearch(ly.holders[e], rank)
	ly.holders[e] = slices.Insert(slices.Clone(ly.holders[e]), i, rank)
	ly.shares[e] = slices.Insert(slices.Clone(ly.shares[e]), i, 0)
	if len(ly.holders[e]) == 1 {
		ly.shares[e][0] = ly.pop[e]
		ly.load[rank] += ly.pop[e]
	}
}

// remove removes the expert's replica from the rank and gives its share to the remaining replica whose rank finishes
// first.
func (ly *layer) remove(e, rank int) {
	i := slices.Index(ly.holders[e], rank)
	share := ly.shares[e][i]
	ly.load[rank] -= share
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
	ly.shares[e][to] += share
	ly.load[ly.holders[e][to]] += share
}

// holds reports whether the rank has a replica of the expert.
func (ly *layer) holds(e, rank int) bool { return slices.Contains(ly.holders[e], rank) }

// balance redistributes the tokens of replicated experts so that the holders of each finish together. It lowers the
// imbalance expert by expert; imbalance is a convex function of the shares, so the result approaches the one optimum
// in whatever sequence the experts are processed.
func (ly *layer) balance() {
	limit := shareTolerance / floats.Sum(ly.speed)
	for range maxShareSweeps {
		change := 0.0
		for e := range ly.holders {
			if len(ly.holders[e]) > 1 {
				change = max(change, ly.waterFill(e))
			}
		}
		if change < limit {
			return
		}
	}
}

// waterFill distributes one expert's tokens over its holders so that all that get a share finish at the same time
// (water-filling), and returns the largest change of a share.
func (ly *layer) waterFill(e int) float64 {
	holders, replicaShares := ly.holders[e], ly.shares[e]
	for i, r := range holders {
		ly.load[r] -= replicaShares[i]
	}
	level := ly.waterLevel(e)
	change := 0.0
	for i, r := range holders {
		share := max(0, level*ly.speed[r]-ly.load[r])
		change = max(change, math.Abs(share-replicaShares[i]))
		replicaShares[i] = share
		ly.load[r] += share
	}
	return change
}

// waterLevel returns the time at which the holders of e finish together, given their other load. A holder whose other
// load alone takes longer gets no share, so the busiest holders are excluded one by one.
func (ly *layer) waterLevel(e int) float64 {
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

// busiest returns the index in ranks of the rank that takes longest.
func (ly *layer) busiest(ranks []int) int {
	worst := 0
	for i, r := range ranks {
		if ly.time(r) > ly.time(ranks[worst]) {
			worst = i
		}
	}
	return worst
}

// replicas returns the replicas of an expert with integer shares. The rounding remainder goes to the largest one.
func (ly *layer) replicas(e int) []expert.Replica {
	out := make([]expert.Replica, len(ly.holders[e]))
	rest, largest := expert.ShareUnit, 0
	sum := floats.Sum(ly.shares[e])
	for i, r := range ly.holders[e] {
		out[i] = expert.Replica{Rank: r}
		if sum > 0 {
			out[i].Share = int(ly.shares[e][i] / sum * expert.ShareUnit)
		}
		rest -= out[i].Share
		if out[i].Share > out[largest].Share {
			largest = i
		}
	}
	out[largest].Share += rest
	return out
}
