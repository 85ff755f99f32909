package lockstep

import (
	"cmp"
	"slices"
)

// RankLimits is what a rank may hold of each set.
type RankLimits struct {
	// Placements is the most experts of one set on a rank.
	Placements int
	// Spare is the most experts of one set that a rank may load in one switch.
	Spare int
}

// Balance looks for a placement with less skew that one switch can reach. price is the skew of one set that a copy must
// save, so that a small gain does not move weights. Each set is a problem of its own.
func Balance(from Placement, demand [][]float64, speed []float64, room RankLimits, price float64) Placement {
	out := make(Placement, len(from))
	for s := range from {
		out[s] = balanceSet(from[s], demand[s], speed, room, price)
	}
	return out
}

// search is a local search for one set: each round takes the most loaded ranks and tries every change that moves a part
// of their load to another rank, and keeps the best. Loads, their squares and the copies are kept in step, so that a
// change is judged by what it touches.
type search struct {
	limits      RankLimits
	price       float64
	demand      []float64
	speed       []float64
	before      [][]int // by rank, before the search
	held        [][]int // by rank, now
	holders     [][]int // by expert: the ranks that hold it
	loads       []float64
	mean        float64
	squares     float64 // of loads
	loaded      []int   // by rank: experts that it had not
	totalLoaded int     // of copies
	order       []int   // the ranks by their loads at the start of a round, the least first
	changed     []int   // the ranks whose loads have changed since
}

func balanceSet(had [][]int, demand, speed []float64, room RankLimits, price float64) [][]int {
	s := &search{
		limits: room, price: price, demand: demand, speed: speed, before: had,
		holders: make([][]int, len(demand)), loads: make([]float64, len(had)), loaded: make([]int, len(had)),
		order: make([]int, len(had)),
	}
	for r, experts := range had {
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
	s.mean /= float64(len(had))
	for r := range had {
		s.updateLoad(r)
	}
	for range roundsPerRank * len(had) {
		c, ok := s.bestChange()
		if !ok {
			break
		}
		s.apply(c)
	}
	return s.held
}

// change replaces expert `out` by expert `in` on rank `at`, and, if a second rank is named, `in` by `out` there. none
// stands for no expert or no second rank.
type change struct {
	rank, add, remove int
	swapWith          int
}

const (
	none = -1
	// minGain ends the search when rounds gain next to nothing.
	minGain = 1e-6
	// maxOverloaded is how many of the most loaded ranks are relieved in a round: where the first cannot be, the next may, and
	// what that frees lets the first go on.
	maxOverloaded = 2
	// maxReceivers is how many of the least loaded ranks may take load over; twice as many cost twice the time and gain nothing.
	maxReceivers = 10
	// roundsPerRank bounds the search; each round changes one or two ranks.
	roundsPerRank = 4
	// spreadWeight adds to the most loaded rank's load how uneven all are, so that rounds which relieve other ranks count as
	// progress.
	spreadWeight = 0.3
)

// bestChange returns the change that lowers the cost most.
func (s *search) bestChange() (change, bool) {
	s.sortRanks()
	order := s.order
	found, best := false, change{}
	least := s.cost() - minGain
	try := func(c change) {
		if !s.allowed(c) {
			return
		}
		undo := s.inverse(c)
		s.apply(c)
		if cost := s.cost(); cost < least {
			found, best, least = true, c, cost
		}
		s.apply(undo)
		s.changed = s.changed[:0]
	}
	for _, hot := range order[max(0, len(order)-maxOverloaded):] {
		for _, e := range slices.Clone(s.held[hot]) {
			if len(s.holders[e]) > 1 {
				try(change{rank: hot, add: none, remove: e, swapWith: none})
			}
			for _, r := range order[:min(maxReceivers, (len(order)+1)/2)] {
				s.tryMoves(hot, e, r, try)
			}
		}
	}
	return best, found
}

// sortRanks orders the ranks by their loads.
func (s *search) sortRanks() {
	for r := range s.order {
		s.order[r] = r
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(s.loads[a], s.loads[b]) })
	s.changed = s.changed[:0]
}

// tryMoves tries what gives rank r a part of expert e, which the hot rank holds, or takes e over in exchange.
func (s *search) tryMoves(hot, e, r int, try func(change)) {
	if r == hot || slices.Contains(s.held[r], e) {
		return
	}
	try(change{rank: r, add: e, remove: none, swapWith: none})
	for _, x := range slices.Clone(s.held[r]) {
		if len(s.holders[x]) > 1 {
			try(change{rank: r, add: e, remove: x, swapWith: none})
		}
		if !slices.Contains(s.held[hot], x) {
			try(change{rank: r, add: e, remove: x, swapWith: hot})
		}
	}
}

// allowed checks places and spare of the ranks that a change touches.
func (s *search) allowed(c change) bool {
	if !s.fits(c.rank, c.add, c.remove) {
		return false
	}
	return c.swapWith == none || s.fits(c.swapWith, c.remove, c.add)
}

func (s *search) fits(rank, in, out int) bool {
	size := len(s.held[rank])
	loads := s.loaded[rank]
	if in != none {
		size++
		loads += s.loadsNeeded(rank, in)
	}
	if out != none {
		size--
		loads -= s.loadsNeeded(rank, out)
	}
	return size <= s.limits.Placements && size >= 1 && loads <= s.limits.Spare
}

func (s *search) loadsNeeded(rank, e int) int {
	if slices.Contains(s.before[rank], e) {
		return 0
	}
	return 1
}

// inverse returns the change that takes c back.
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
		s.loaded[rank] -= s.loadsNeeded(rank, out)
		s.totalLoaded -= s.loadsNeeded(rank, out)
		i = slices.Index(s.holders[out], rank)
		s.holders[out] = slices.Delete(s.holders[out], i, i+1)
		s.updateHolders(out)
	}
	if in != none {
		s.held[rank] = append(s.held[rank], in)
		s.loaded[rank] += s.loadsNeeded(rank, in)
		s.totalLoaded += s.loadsNeeded(rank, in)
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

// cost is the skew, with the price of what must be copied.
func (s *search) cost() float64 {
	return s.maxLoad() + spreadWeight*s.squares/float64(len(s.loads)) + s.price*float64(s.totalLoaded)
}

// maxLoad is the load of the most loaded rank: the first in order that has not changed, or one that has.
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
