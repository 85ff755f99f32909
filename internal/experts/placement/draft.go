package placement

import (
	"slices"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// draft is a mutable map during a search.
type draft struct {
	group  Group
	speed  []float64
	layers []*layer
	// used is the number of memory slots that the draft needs on each rank.
	used []int
}

// newDraft returns a draft that starts as a copy of m.
func newDraft(g Group, m *expert.Map, pop, speed []float64) *draft {
	d := &draft{group: g, speed: speed, used: m.Used()}
	n := g.Shape.Experts
	for l := range g.Shape.Layers {
		d.layers = append(d.layers, newLayerFromMap(m, l, pop[l*n:(l+1)*n], speed))
	}
	return d
}

func (d *draft) clone() *draft {
	c := &draft{group: d.group, speed: d.speed, used: slices.Clone(d.used)}
	for _, ly := range d.layers {
		c.layers = append(c.layers, ly.clone())
	}
	return c
}

// idealTime returns the time that a perfectly balanced layer takes.
func (d *draft) idealTime() float64 { return 1 / floats.Sum(d.speed) }

// skew returns the time of a step divided by that of a perfectly balanced one.
func (d *draft) skew() float64 {
	sum := 0.0
	for _, ly := range d.layers {
		_, t := ly.slowest()
		sum += t
	}
	return sum / (float64(len(d.layers)) * d.idealTime())
}

// balance redistributes the tokens of all replicated experts among their replicas, without moving any replica.
func (d *draft) balance() {
	for _, ly := range d.layers {
		ly.balance()
	}
}

// build returns the draft as an immutable map.
func (d *draft) build(version uint64) (*expert.Map, error) {
	replicas := make([][]expert.Replica, 0, d.group.Shape.Cells())
	for _, ly := range d.layers {
		for e := range ly.pop {
			replicas = append(replicas, ly.replicas(e))
		}
	}
	return expert.New(version, d.group.Shape, replicas)
}

// expertRef identifies one expert of one layer.
type expertRef struct{ layer, expert int }

// spareReplica returns the replica on the rank that takes the smallest share of its layer's tokens and is not its
// expert's only one. Replicas for which keep returns true are skipped.
func (d *draft) spareReplica(rank int, keep func(layer, expert int) bool) (expertRef, bool) {
	var best expertRef
	smallest, found := 0.0, false
	for l, ly := range d.layers {
		for e, holders := range ly.holders {
			i := slices.Index(holders, rank)
			if i < 0 || len(holders) < 2 || keep(l, e) {
				continue
			}
			if !found || ly.shares[e][i] < smallest {
				best, smallest, found = expertRef{l, e}, ly.shares[e][i], true
			}
		}
	}
	return best, found
}

// trimRank drops spare replicas until the rank uses no more than limit slots. It keeps the replicas that keep selects
// and the only replicas of experts, so the rank may stay above the limit.
func (d *draft) trimRank(rank, limit int, keep func(layer, expert int) bool) {
	for d.used[rank] > limit {
		v, ok := d.spareReplica(rank, keep)
		if !ok {
			return
		}
		d.layers[v.layer].remove(v.expert, rank)
		d.used[rank]--
		d.layers[v.layer].balance()
	}
}

// Skew returns the skew of the map under the given popularity and speeds, both as estimated by Policy.
func Skew(g Group, m *expert.Map, pop, speed []float64) float64 {
	return newDraft(g, m, pop, speed).skew()
}
