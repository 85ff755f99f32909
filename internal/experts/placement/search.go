package placement

import (
	"cmp"
	"slices"
)

const (
	// maxLayerLoads is the number of loads tried in one layer before the best number of them is chosen.
	maxLayerLoads = 4
	// maxTriedExperts and maxTriedRanks bound the pairs that are evaluated for each load.
	maxTriedExperts = 4
	maxTriedRanks   = 4
)

// search looks for additional replicas whose saving pays for their loading.
type search struct {
	draft *draft
	// free is the number of experts that each rank can load in addition to all that it holds now.
	free []int
	// loads is the number of loads left in the budget.
	loads int
	// price is the skew that one load must save.
	price float64
	// added holds the added replicas, by cell and rank.
	added map[[2]int]bool
}

// run improves the draft, starting with the slowest layers.
func (s *search) run() {
	order := make([]int, len(s.draft.layers))
	times := make([]float64, len(order))
	for l, ly := range s.draft.layers {
		order[l] = l
		_, times[l] = ly.slowest()
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(times[b], times[a]) })
	for _, l := range order {
		if s.loads <= 0 {
			return
		}
		s.improve(l)
	}
}

// addition is a replica that a layer may get.
type addition struct{ expert, rank int }

// improve tries up to maxLayerLoads additional replicas in layer l, one after the other, and keeps as many of them as
// save most after their price.
func (s *search) improve(l int) {
	start := s.draft.layers[l]
	_, before := start.slowest()
	scale := float64(len(s.draft.layers)) * s.draft.idealTime()
	best, bestNet, bestCount := start, 0.0, 0
	free := slices.Clone(s.free)
	var tried []addition
	for now := start; len(tried) < min(maxLayerLoads, s.loads); {
		next, ld, ok := bestLoad(now, free)
		if !ok {
			break
		}
		now = next
		free[ld.rank]--
		tried = append(tried, ld)
		_, after := now.slowest()
		net := (before-after)/scale - s.price*float64(len(tried))
		if net > bestNet {
			best, bestNet, bestCount = now, net, len(tried)
		}
	}
	s.apply(l, best, tried[:bestCount])
}

func (s *search) apply(l int, ly *layer, loads []addition) {
	s.draft.layers[l] = ly
	for _, ld := range loads {
		s.free[ld.rank]--
		s.loads--
		s.draft.used[ld.rank]++
		s.added[[2]int{s.draft.group.Shape.Cell(l, ld.expert), ld.rank}] = true
	}
}

// bestLoad returns a copy of the layer with the one additional replica that helps its slowest rank most.
func bestLoad(ly *layer, free []int) (*layer, addition, bool) {
	slow, _ := ly.slowest()
	var best *layer
	var chosen addition
	for _, e := range heaviestExperts(ly, slow) {
		for _, r := range fastestRanks(ly, e, free) {
			c := ly.clone()
			c.add(e, r)
			c.waterFill(e)
			if best == nil || c.score() < best.score() {
				best, chosen = c, addition{e, r}
			}
		}
	}
	if best == nil {
		return nil, addition{}, false
	}
	best.balance()
	return best, chosen, true
}

// score returns the value that a load should lower: the slowest rank's time plus the imbalance. Without the
// imbalance, a load that helps the slowest rank only together with a second load would never be chosen.
func (ly *layer) score() float64 {
	_, t := ly.slowest()
	return t + ly.imbalance()
}

// heaviestExperts returns the experts that have the most tokens on the rank.
func heaviestExperts(ly *layer, rank int) []int {
	type expertShare struct {
		expert int
		share  float64
	}
	var list []expertShare
	for e, holders := range ly.holders {
		if i := slices.Index(holders, rank); i >= 0 && ly.shares[e][i] > 0 {
			list = append(list, expertShare{e, ly.shares[e][i]})
		}
	}
	slices.SortStableFunc(list, func(a, b expertShare) int { return cmp.Compare(b.share, a.share) })
	var out []int
	for _, p := range list[:min(maxTriedExperts, len(list))] {
		out = append(out, p.expert)
	}
	return out
}

// fastestRanks returns the ranks that finish first among those with free capacity that do not hold the expert.
func fastestRanks(ly *layer, e int, free []int) []int {
	var out []int
	for r := range free {
		if free[r] > 0 && ly.speed[r] > 0 && !ly.holds(e, r) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(ly.time(a), ly.time(b)) })
	return out[:min(maxTriedRanks, len(out))]
}
