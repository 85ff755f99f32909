package placement

import (
	"slices"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// draft is a map that is being worked out.
type draft struct {
	group  Group
	speed  []float64
	layers []*layer
	// used counts the memory slots that the draft needs on each rank.
	used []int
}

// newDraft returns a draft that starts as m.
func newDraft(g Group, m *expert.Map, pop, speed []float64) *draft {
	d := &draft{group: g, speed: speed, used: m.Used()}
	n := g.Shape.Experts
	for l := range g.Shape.Layers {
		d.layers = append(d.layers, layerOf(m, l, pop[l*n:(l+1)*n], speed))
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

// ideal is the time that a perfectly balanced layer takes.
func (d *draft) ideal() float64 { return 1 / floats.Sum(d.speed) }

// skew returns the time of a step over that of a perfectly balanced one.
func (d *draft) skew() float64 {
	sum := 0.0
	for _, ly := range d.layers {
		_, t := ly.slowest()
		sum += t
	}
	return sum / (float64(len(d.layers)) * d.ideal())
}

// even spreads the tokens of all replicated experts without moving any.
func (d *draft) even() {
	for _, ly := range d.layers {
		ly.even()
	}
}

// build returns the draft as a map.
func (d *draft) build(version uint64) (*expert.Map, error) {
	replicas := make([][]expert.Replica, 0, d.group.Shape.Cells())
	for _, ly := range d.layers {
		for e := range ly.pop {
			replicas = append(replicas, ly.replicas(e))
		}
	}
	return expert.New(version, d.group.Shape, replicas)
}

// victim is a replica whose expert has another one.
type victim struct{ layer, expert int }

// spare returns the replica on the rank that takes least of its layer's tokens and is not its expert's only one, with
// any that keep refuses left out.
func (d *draft) spare(rank int, keep func(layer, expert int) bool) (victim, bool) {
	var best victim
	least, found := 0.0, false
	for l, ly := range d.layers {
		for e, holders := range ly.holders {
			i := slices.Index(holders, rank)
			if i < 0 || len(holders) < 2 || keep(l, e) {
				continue
			}
			if !found || ly.shares[e][i] < least {
				best, least, found = victim{l, e}, ly.shares[e][i], true
			}
		}
	}
	return best, found
}

// trimRank drops spare replicas until the rank uses no more than limit slots; replicas that are needed stay.
func (d *draft) trimRank(rank, limit int, keep func(layer, expert int) bool) {
	for d.used[rank] > limit {
		v, ok := d.spare(rank, keep)
		if !ok {
			return
		}
		d.layers[v.layer].remove(v.expert, rank)
		d.used[rank]--
		d.layers[v.layer].even()
	}
}

// Skew returns the skew that the map has under the given popularity and speeds, both as Policy estimates them.
func Skew(g Group, m *expert.Map, pop, speed []float64) float64 {
	return newDraft(g, m, pop, speed).skew()
}
