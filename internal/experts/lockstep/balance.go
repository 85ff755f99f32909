package lockstep

import (
	"cmp"
	"slices"
)

// Room is what a rank may hold of each set.
type Room struct {
	// Placements is the most experts of one set on a rank.
	Placements int
	// Spare is the most experts of one set that a rank may load in one switch.
	Spare int
}

// Balance looks for a placement with less skew that one switch can reach. price is the skew of one set that a copy must
// save, so that a small gain does not move weights. Each set is a problem of its own.
func Balance(from Placement, demand [][]float64, speed []float64, room Room, price float64) Placement {
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
	room    Room
	price   float64
	demand  []float64
	speed   []float64
	had     [][]int // by rank, before the search
	has     [][]int // by rank, now
	holders [][]int // by expert: the ranks that hold it
	loads   []float64
	mean    float64
	squares float64 // of loads
	copies  []int   // by rank: experts that it had not
	total   int     // of copies
	order   []int   // the ranks by their loads at the start of a round, the least first
	changed []int   // the ranks whose loads have changed since
}

func balanceSet(had [][]int, demand, speed []float64, room Room, price float64) [][]int {
	s := &search{
		room: room, price: price, demand: demand, speed: speed, had: had,
		holders: make([][]int, len(demand)), loads: make([]float64, len(had)), copies: make([]int, len(had)),
		order: make([]int, len(had)),
	}
	for r, experts := range had {
		s.has = append(s.has, slices.Clone(experts))
		for _, e := range experts {
			s.holders[e] = append(s.holders[e], r)
		}
	}
	for _, d := range demand {
		s.mean += d
	}
	if s.mean == 0 {
		return s.has
	}
	s.mean /= float64(len(had))
	for r := range had {
		s.recount(r)
	}
	for range roundsPerRank * len(had) {
		c, ok := s.best()
		if !ok {
			break
		}
		s.apply(c)
	}
	return s.has
}

// change replaces expert `out` by expert `in` on rank `at`, and, if a second rank is named, `in` by `out` there. none
// stands for no expert or no second rank.
type change struct {
	at, in, out int
	swapWith    int
}

const (
	none = -1
	// minGain ends the search when rounds gain next to nothing.
	minGain = 1e-6
	// hottest is how many of the most loaded ranks are relieved in a round: where the first cannot be, the next may, and
	// what that frees lets the first go on.
	hottest = 2
	// coldest is how many of the least loaded ranks may take load over; twice as many cost twice the time and gain nothing.
	coldest = 10
	// roundsPerRank bounds the search; each round changes one or two ranks.
	roundsPerRank = 4
	// spreadWeight adds to the most loaded rank's load how uneven all are, so that rounds which relieve other ranks count as
	// progress.
	spreadWeight = 0.3
)

// best returns the change that lowers the cost most.
func (s *search) best() (change, bool) {
	s.sort()
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
	for _, hot := range order[max(0, len(order)-hottest):] {
		for _, e := range slices.Clone(s.has[hot]) {
			if len(s.holders[e]) > 1 {
				try(change{at: hot, in: none, out: e, swapWith: none})
			}
			for _, r := range order[:min(coldest, (len(order)+1)/2)] {
				s.tryMoves(hot, e, r, try)
			}
		}
	}
	return best, found
}

// sort orders the ranks by their loads.
func (s *search) sort() {
	for r := range s.order {
		s.order[r] = r
	}
	slices.SortFunc(s.order, func(a, b int) int { return cmp.Compare(s.loads[a], s.loads[b]) })
	s.changed = s.changed[:0]
}

// tryMoves tries what gives rank r a part of expert e, which the hot rank holds, or takes e over in exchange.
func (s *search) tryMoves(hot, e, r int, try func(change)) {
	if r == hot || slices.Contains(s.has[r], e) {
		return
	}
	try(change{at: r, in: e, out: none, swapWith: none})
	for _, x := range slices.Clone(s.has[r]) {
		if len(s.holders[x]) > 1 {
			try(change{at: r, in: e, out: x, swapWith: none})
		}
		if !slices.Contains(s.has[hot], x) {
			try(change{at: r, in: e, out: x, swapWith: hot})
		}
	}
}

// allowed checks places and spare of the ranks that a change touches.
func (s *search) allowed(c change) bool {
	if !s.fits(c.at, c.in, c.out) {
		return false
	}
	return c.swapWith == none || s.fits(c.swapWith, c.out, c.in)
}

func (s *search) fits(rank, in, out int) bool {
	size := len(s.has[rank])
	loads := s.copies[rank]
	if in != none {
		size++
		loads += s.isNew(rank, in)
	}
	if out != none {
		size--
		loads -= s.isNew(rank, out)
	}
	return size <= s.room.Placements && size >= 1 && loads <= s.room.Spare
}

func (s *search) isNew(rank, e int) int {
	if slices.Contains(s.had[rank], e) {
		return 0
	}
	return 1
}

// inverse returns the change that takes c back.
func (s *search) inverse(c change) change {
	return change{at: c.at, in: c.out, out: c.in, swapWith: c.swapWith}
}

func (s *search) apply(c change) {
	s.replace(c.at, c.in, c.out)
	if c.swapWith != none {
		s.replace(c.swapWith, c.out, c.in)
	}
}

func (s *search) replace(rank, in, out int) {
	if out != none {
		i := slices.Index(s.has[rank], out)
		s.has[rank] = slices.Delete(s.has[rank], i, i+1)
		s.copies[rank] -= s.isNew(rank, out)
		s.total -= s.isNew(rank, out)
		i = slices.Index(s.holders[out], rank)
		s.holders[out] = slices.Delete(s.holders[out], i, i+1)
		s.recountHolders(out)
	}
	if in != none {
		s.has[rank] = append(s.has[rank], in)
		s.copies[rank] += s.isNew(rank, in)
		s.total += s.isNew(rank, in)
		s.holders[in] = append(s.holders[in], rank)
		s.recountHolders(in)
	}
	s.recount(rank)
}

func (s *search) recountHolders(e int) {
	for _, r := range s.holders[e] {
		s.recount(r)
	}
}

func (s *search) recount(rank int) {
	load := 0.0
	for _, e := range s.has[rank] {
		load += s.demand[e] / float64(len(s.holders[e]))
	}
	load /= s.speed[rank] * s.mean
	s.squares += load*load - s.loads[rank]*s.loads[rank]
	s.loads[rank] = load
	s.changed = append(s.changed, rank)
}

// cost is the skew, with the price of what must be copied.
func (s *search) cost() float64 {
	return s.most() + spreadWeight*s.squares/float64(len(s.loads)) + s.price*float64(s.total)
}

// most is the load of the most loaded rank: the first in order that has not changed, or one that has.
func (s *search) most() float64 {
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
