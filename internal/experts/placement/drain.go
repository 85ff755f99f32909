package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// drain takes every expert from the stalled ranks, whatever it costs: the group cannot complete a step with them. Only
// experts whose last replica is on a stalled rank are loaded elsewhere.
func (p *Policy) drain(d Decision, current *expert.Map, speed, pop []float64) Decision {
	if pop == nil {
		pop = usualPopularity(p.group.Shape)
	}
	dr := newDraft(p.group, current, pop, speed)
	lost := dr.evict(d.Stalled)
	for _, v := range lost {
		if !dr.rescue(v) {
			d.Stay = ReasonNoRoom
			return d
		}
	}
	dr.even()
	m, err := dr.build(current.Version() + 1)
	if err != nil {
		d.Stay = ReasonNoRoom
		return d
	}
	d.Target = dr.skew()
	moves := dropsFirst(expert.Diff(current, m))
	bytes := uint64(expert.Loads(moves)) * p.group.ExpertBytes
	d.Plan = &Plan{CauseStall, m, moves, bytes}
	return d
}

// evict removes all replicas from the ranks and returns the experts that have none left, heaviest first.
func (d *draft) evict(ranks []int) []victim {
	var lost []victim
	for l, ly := range d.layers {
		for e := range ly.holders {
			for _, r := range ranks {
				if !ly.holds(e, r) {
					continue
				}
				ly.remove(e, r)
				d.used[r]--
			}
			if len(ly.holders[e]) == 0 {
				lost = append(lost, victim{l, e})
			}
		}
	}
	pop := func(v victim) float64 { return d.layers[v.layer].pop[v.expert] }
	slices.SortStableFunc(lost, func(a, b victim) int { return cmp.Compare(pop(b), pop(a)) })
	return lost
}

// rescue gives an expert without a replica one on the rank that finishes first. It prefers a rank with a free slot and
// else takes the slot of a spare replica; false if there is neither.
func (d *draft) rescue(v victim) bool {
	ly := d.layers[v.layer]
	if r := d.firstRank(ly, func(r int) bool { return d.used[r] < d.group.Slots }); r >= 0 {
		ly.add(v.expert, r)
		d.used[r]++
		return true
	}
	none := func(int, int) bool { return false }
	r := d.firstRank(ly, func(r int) bool {
		_, ok := d.spare(r, none)
		return ok
	})
	if r < 0 {
		return false
	}
	s, _ := d.spare(r, none)
	d.layers[s.layer].remove(s.expert, r)
	ly.add(v.expert, r)
	return true
}

// firstRank returns the working rank that finishes the layer first among those that ok accepts; -1 if there is none.
func (d *draft) firstRank(ly *layer, ok func(rank int) bool) int {
	best, first := -1, math.Inf(1)
	for r, v := range d.speed {
		if v > 0 && ly.time(r) < first && ok(r) {
			best, first = r, ly.time(r)
		}
	}
	return best
}

func dropsFirst(moves []expert.Move) []expert.Move {
	rank := func(m expert.Move) int {
		if m.Op == expert.OpDrop {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(moves, func(a, b expert.Move) int { return cmp.Compare(rank(a), rank(b)) })
	return moves
}
