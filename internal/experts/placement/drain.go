package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// evacuate removes every expert from the stalled ranks at any cost, because the group cannot complete a step with them.
// Only experts whose last replica is on a stalled rank are loaded elsewhere.
func (p *Policy) evacuate(d Decision, current *expert.Map, speed, pop []float64) Decision {
	if pop == nil {
		pop = uniformPopularity(p.group.Shape)
	}
	dr := newDraft(p.group, current, pop, speed)
	orphaned := dr.evict(d.Stalled)
	for _, v := range orphaned {
		if !dr.assignReplica(v) {
			d.Stay = ReasonNoCapacity
			return d
		}
	}
	dr.balance()
	m, err := dr.build(current.Version() + 1)
	if err != nil {
		d.Stay = ReasonNoCapacity
		return d
	}
	d.Target = dr.skew()
	moves := dropsFirst(expert.Diff(current, m))
	bytes := uint64(expert.Loads(moves)) * p.group.ExpertBytes
	d.Plan = &Plan{CauseStall, m, moves, bytes}
	return d
}

// evict removes all replicas from the ranks and returns the experts that have none left, by descending popularity.
func (d *draft) evict(ranks []int) []expertRef {
	var orphaned []expertRef
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
				orphaned = append(orphaned, expertRef{l, e})
			}
		}
	}
	pop := func(v expertRef) float64 { return d.layers[v.layer].pop[v.expert] }
	slices.SortStableFunc(orphaned, func(a, b expertRef) int { return cmp.Compare(pop(b), pop(a)) })
	return orphaned
}

// assignReplica adds a replica of an expert that has none to the rank that finishes the layer first. It prefers ranks
// with a free slot; otherwise it replaces a spare replica. It returns false if neither exists.
func (d *draft) assignReplica(v expertRef) bool {
	ly := d.layers[v.layer]
	if r := d.earliestRank(ly, func(r int) bool { return d.used[r] < d.group.Slots }); r >= 0 {
		ly.add(v.expert, r)
		d.used[r]++
		return true
	}
	keepNone := func(int, int) bool { return false }
	r := d.earliestRank(ly, func(r int) bool {
		_, ok := d.spareReplica(r, keepNone)
		return ok
	})
	if r < 0 {
		return false
	}
	s, _ := d.spareReplica(r, keepNone)
	d.layers[s.layer].remove(s.expert, r)
	ly.add(v.expert, r)
	return true
}

// earliestRank returns the working rank that finishes the layer first among those that ok accepts, or -1 if there is
// none.
func (d *draft) earliestRank(ly *layer, ok func(rank int) bool) int {
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
