package placement

import (
	"cmp"
	"slices"
)

const (
	// layerMoves is the number of loads that are tried in one layer before the best number of them is taken.
	layerMoves = 4
	// triedExperts and triedRanks bound the pairs that are weighed for each load.
	triedExperts = 4
	triedRanks   = 4
)

// search looks for replicas whose saving pays for their loading.
type search struct {
	draft *draft
	// free is the number of experts that each rank can still load beside all that it holds now.
	free []int
	// loads is the number of loads that the budget still allows.
	loads int
	// price is the skew that one load must save.
	price float64
	// added marks the cells that got a replica, by cell and rank.
	added map[[2]int]bool
}

// run improves the draft, worst layers first.
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

// load is a replica that a layer may get.
type load struct{ expert, rank int }

// improve adds to layer l the number of replicas, up to layerMoves, that saves most beyond its price.
func (s *search) improve(l int) {
	start := s.draft.layers[l]
	_, before := start.slowest()
	scale := float64(len(s.draft.layers)) * s.draft.ideal()
	best, bestNet, bestCount := start, 0.0, 0
	free := slices.Clone(s.free)
	var tried []load
	for now := start; len(tried) < min(layerMoves, s.loads); {
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
	s.take(l, best, tried[:bestCount])
}

func (s *search) take(l int, ly *layer, loads []load) {
	s.draft.layers[l] = ly
	for _, ld := range loads {
		s.free[ld.rank]--
		s.loads--
		s.draft.used[ld.rank]++
		s.added[[2]int{s.draft.group.Shape.Cell(l, ld.expert), ld.rank}] = true
	}
}

// bestLoad returns the layer with the one more replica that does most against its slowest rank.
func bestLoad(ly *layer, free []int) (*layer, load, bool) {
	slow, _ := ly.slowest()
	var best *layer
	var chosen load
	for _, e := range heaviest(ly, slow) {
		for _, r := range quickest(ly, e, free) {
			c := ly.clone()
			c.add(e, r)
			c.fill(e)
			if best == nil || c.score() < best.score() {
				best, chosen = c, load{e, r}
			}
		}
	}
	if best == nil {
		return nil, load{}, false
	}
	best.even()
	return best, chosen, true
}

// score is what a load should lower: the slowest rank's time first, and the roughness so that a second load can follow.
func (ly *layer) score() float64 {
	_, t := ly.slowest()
	return t + ly.roughness()
}

// heaviest returns the experts of which the rank takes most tokens.
func heaviest(ly *layer, rank int) []int {
	type part struct {
		expert int
		share  float64
	}
	var parts []part
	for e, holders := range ly.holders {
		if i := slices.Index(holders, rank); i >= 0 && ly.shares[e][i] > 0 {
			parts = append(parts, part{e, ly.shares[e][i]})
		}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.share, a.share) })
	var out []int
	for _, p := range parts[:min(triedExperts, len(parts))] {
		out = append(out, p.expert)
	}
	return out
}

// quickest returns the ranks that finish first and have room for a replica of the expert.
func quickest(ly *layer, e int, free []int) []int {
	var out []int
	for r := range free {
		if free[r] > 0 && ly.speed[r] > 0 && !ly.holds(e, r) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(ly.time(a), ly.time(b)) })
	return out[:min(triedRanks, len(out))]
}
