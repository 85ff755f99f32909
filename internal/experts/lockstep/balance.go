package lockstep

import (
	"cmp"
	"slices"
)

// RankLimits bounds the experts of each set on one rank.
type RankLimits struct {
	// MaxPerRank is the maximum number of experts of one set on a rank.
	MaxPerRank int
	// Spare is the maximum number of experts of one set that a rank may load in one switch.
	Spare int
}

// Balance searches for a placement with less skew that one switch can reach. price is the skew of one set that a copy
// must save, so that a small gain does not move weights. Each set is balanced separately.
func Balance(from Placement, demand [][]float64, speed []float64, limits RankLimits, price float64) Placement {
	out := make(Placement, len(from))
	for s := range from {
		out[s] = balanceSet(from[s], demand[s], speed, limits, price)
	}
	return out
}

// search is a local search for one set. Each round tries every change that moves a share of the load of the most
// loaded ranks to another rank, and applies the best one. Loads, their squares and the experts to load are updated
// incrementally, so that a change costs only the ranks that it affects.
type search struct {
	limits      RankLimits
	price       float64
	demand      []float64
	speed       []float64
	before      [][]int // by rank, before the search
	held        [][]int // by rank, in the current state of the search
	holders     [][]int // by expert: the ranks that hold it
	loads       []float64
	mean        float64
	squares     float64 // sum of the squared loads
	toLoad      []int   // by rank: experts that it must load
	totalToLoad int     // sum of toLoad
	order       []int   // the ranks at the start of a round, by ascending load
	changed     []int   // the ranks whose loads have changed since then
}

func balanceSet(before [][]int, demand, speed []float64, limits RankLimits, price float64) [][]int {
	s := &search{
		limits: limits, price: price, demand: demand, speed: speed, before: before,
		holders: make([][]int, len(demand)), loads: make([]float64, len(before)), toLoad: make([]int, len(before)),
		order: make([]int, len(before)),
	}
	for r, experts := range before {
		s.held = append(s.held, slices.Clone(experts))
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	for _, d := range demand {
		s.mean += d
	}
	if s.mean == 0 {
		return s.held
	}
	s.mean /= float64(len(before))
	for r := range before {
		s.updateLoad(r)
	}
	for range roundsPerRank * len(before) {
		c, ok := s.bestChange()
		if !ok {
			break
		}
		s.apply(c)
	}
	return s.held
}

// change replaces expert `remove` by expert `add` on `rank` and, if `swapWith` names a second rank, `add` by `remove`
// there. The value none means no expert or no second rank.
type change struct {
	rank, add, remove int
	swapWith          int
}

const (
	none = -1
	// minRoundGain is the cost that a round must save; the search ends with the first round that saves less.
	minRoundGain = 1e-6
	// maxOverloaded is how many of the most loaded ranks a round tries to relieve. Where the first cannot be
	// relieved, the next may be, and the capacity that this frees may then allow a change to the first.
	maxOverloaded = 2
	// maxReceivers is how many of the least loaded ranks may take over load; twice as many take twice the time and
	// gain nothing.
	maxReceivers = 10
	// roundsPerRank bounds the number of rounds; each round changes one or two ranks.
	roundsPerRank = 4
	// spreadWeight is the weight of the mean squared load, which is added to the load of the most loaded rank, so
	// that rounds which relieve other ranks count as progress.
	spreadWeight = 0.3
)

// bestChange returns the change that lowers the cost most.
func (s *search) bestChange() (change, bool) {
	s.sortRanks()
	order := s.order
	found, best := false, change{}
	lowest := s.cost() - minRoundGain
	try := func(c change) {
		if !s.allowed(c) {
			return
		}
		undo := s.inverse(c)
		s.apply(c)
		if cost := s.cost(); cost < lowest {
			found, best, lowest = true, c, cost
		}
		s.apply(undo)
		s.changed = s.changed[:0]
	}
	for _, overloaded := range order[max(0, len(order)-maxOverloaded):] {
		for _, e := range slices.Clone(s.held[overloaded]) {
			if len(s.holders[e]) > 1 {
				try(change{rank: overloaded, add: none, remove: e, swapWith: none})
			}
			for _, r := range order[:min(maxReceivers, (len(order)+1)/2)] {
				s.tryMoves(overloaded, e, r, try)
			}
		}
	}
	return best, found
}

// sortRanks sorts the ranks by load and starts a new round.
func (s *search) sortRanks() {
	for r := range s.order {
		s.order[r] = r
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(s.loads[a], s.loads[b]) })
	s.changed = s.changed[:0]
}

// tryMoves tries the changes that give rank r a share of expert e, which an overloaded rank holds, or that move e to
// r in exchange for another expert.
func (s *search) tryMoves(overloaded, e, r int, try func(change)) {
	if r == overloaded || slices.Contains(s.held[r], e) {
		return
	}
	try(change{rank: r, add: e, remove: none, swapWith: none})
	for _, x := range slices.Clone(s.held[r]) {
		if len(s.holders[x]) > 1 {
			try(change{rank: r, add: e, remove: x, swapWith: none})
		}
		if !slices.Contains(s.held[overloaded], x) {
			try(change{rank: r, add: e, remove: x, swapWith: overloaded})
		}
	}
}

// allowed checks the limits of the ranks that a change affects.
func (s *search) allowed(c change) bool {
	if !s.fits(c.rank, c.add, c.remove) {
		return false
	}
	return c.swapWith == none || s.fits(c.swapWith, c.remove, c.add)
}

func (s *search) fits(rank, in, out int) bool {
	size := len(s.held[rank])
	loads := s.toLoad[rank]
	if in != none {
		size++
		loads += s.loadsNeeded(rank, in)
	}
	if out != none {
		size--
		loads -= s.loadsNeeded(rank, out)
	}
	return size <= s.limits.MaxPerRank && size >= 1 && loads <= s.limits.Spare
}

func (s *search) loadsNeeded(rank, e int) int {
	if slices.Contains(s.before[rank], e) {
		return 0
	}
	return 1
}

// inverse returns the change that reverts c.
func (s *search) inverse(c change) change {
	return change{rank: c.rank, add: c.remove, remove: c.add, swapWith: c.swapWith}
}

func (s *search) apply(c change) {
	s.replace(c.rank, c.add, c.remove)
	if c.swapWith != none {
		s.replace(c.swapWith, c.remove, c.add)
	}
}

func (s *search) replace(rank, in, out int) {
	if out != none {
		i := slices.Index(s.held[rank], out)
		s.held[rank] = slices.Delete(s.held[rank], i, i+1)
		s.toLoad[rank] -= s.loadsNeeded(rank, out)
		s.totalToLoad -= s.loadsNeeded(rank, out)
		i = slices.Index(s.holders[out], rank)
		s.holders[out] = slices.Delete(s.holders[out], i, i+1)
		s.updateHolders(out)
	}
	if in != none {
		s.held[rank] = append(s.held[rank], in)
		s.toLoad[rank] += s.loadsNeeded(rank, in)
		s.totalToLoad += s.loadsNeeded(rank, in)
		s.holders[in] = append(s.holders[in], rank)
		s.updateHolders(in)
	}
	s.updateLoad(rank)
}

func (s *search) updateHolders(e int) {
	for _, r := range s.holders[e] {
		s.updateLoad(r)
	}
}

func (s *search) updateLoad(rank int) {
	load := 0.0
	for _, e := range s.held[rank] {
		load += s.demand[e] / float64(len(s.holders[e]))
	}
	load /= s.speed[rank] * s.mean
	s.squares += load*load - s.loads[rank]*s.loads[rank]
	s.loads[rank] = load
	s.changed = append(s.changed, rank)
}

// cost is the load of the most loaded rank, plus the weighted spread of the loads and the price of the experts to
// load.
func (s *search) cost() float64 {
	return s.maxLoad() + spreadWeight*s.squares/float64(len(s.loads)) + s.price*float64(s.totalToLoad)
}

// maxLoad returns the load of the most loaded rank: either the last rank in order that has not changed, or one that
// has.
func (s *search) maxLoad() float64 {
	most := 0.0
	for _, r := range s.changed {
		most = max(most, s.loads[r])
	}
	for _, r := range slices.Backward(s.order) {
		if !slices.Contains(s.changed, r) {
			return max(most, s.loads[r])
		}
	}
	return most
}
