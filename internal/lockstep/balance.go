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

// maxRounds bounds the search in one set; each round changes one or two ranks.
const maxRounds = 96

// search is a local search for one set: each round takes the most loaded rank and tries every change that moves a part
// of its load to another rank, and keeps the best.
type search struct {
	room    Room
	price   float64
	demand  []float64
	speed   []float64
	had     [][]int // by rank, before the search
	has     [][]int // by rank, now
	holders []int   // by expert
	loads   []float64
	mean    float64
}

func balanceSet(had [][]int, demand, speed []float64, room Room, price float64) [][]int {
	s := &search{room: room, price: price, demand: demand, speed: speed, had: had, holders: make([]int, len(demand))}
	for _, experts := range had {
		s.has = append(s.has, slices.Clone(experts))
		for _, e := range experts {
			s.holders[e]++
		}
	}
	s.loads = setLoads(s.has, demand, speed)
	for _, d := range demand {
		s.mean += d
	}
	if s.mean == 0 {
		return s.has
	}
	s.mean /= float64(len(had))
	for range maxRounds {
		c, ok := s.best()
		if !ok {
			break
		}
		s.apply(c)
	}
	return s.has
}

// change replaces expert `out` by expert `in` on rank `at`, and, if a second rank is named, `in` by `out` there. -1
// stands for no expert.
type change struct {
	at, in, out int
	swapWith    int
}

// best returns the change that lowers the cost most.
func (s *search) best() (change, bool) {
	hot := 0
	for r := range s.loads {
		if s.loads[r] > s.loads[hot] {
			hot = r
		}
	}
	order := make([]int, len(s.loads))
	for r := range order {
		order[r] = r
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(s.loads[a], s.loads[b]) })
	found, best := false, change{}
	least := s.cost() - leastGain
	try := func(c change) {
		if !s.allowed(c) {
			return
		}
		undo := s.apply(c)
		if cost := s.cost(); cost < least {
			found, best, least = true, c, cost
		}
		undo()
	}
	for _, e := range slices.Clone(s.has[hot]) {
		if s.holders[e] > 1 {
			try(change{at: hot, in: none, out: e, swapWith: none})
		}
		for _, r := range order[:(len(order)+1)/2] {
			s.tryMoves(hot, e, r, try)
		}
	}
	return best, found
}

const (
	none = -1
	// leastGain ends the search when rounds gain next to nothing.
	leastGain = 1e-6
)

// tryMoves tries what gives rank r a part of expert e, which the hot rank holds, or takes e over in exchange.
func (s *search) tryMoves(hot, e, r int, try func(change)) {
	if r == hot || slices.Contains(s.has[r], e) {
		return
	}
	try(change{at: r, in: e, out: none, swapWith: none})
	for _, x := range slices.Clone(s.has[r]) {
		if s.holders[x] > 1 {
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
	loads := newExperts(s.had[rank], s.has[rank])
	if in != none {
		size++
		if !slices.Contains(s.had[rank], in) {
			loads++
		}
	}
	if out != none {
		size--
		if !slices.Contains(s.had[rank], out) {
			loads--
		}
	}
	return size <= s.room.Placements && size >= 1 && loads <= s.room.Spare
}

// apply carries a change out and returns what undoes it.
func (s *search) apply(c change) (undo func()) {
	touched := []int{c.at}
	if c.swapWith != none {
		touched = append(touched, c.swapWith)
	}
	before := make([][]int, len(touched))
	for i, r := range touched {
		before[i] = slices.Clone(s.has[r])
	}
	s.replace(c.at, c.in, c.out)
	if c.swapWith != none {
		s.replace(c.swapWith, c.out, c.in)
	}
	return func() {
		for i, r := range touched {
			s.set(r, before[i])
		}
	}
}

func (s *search) replace(rank, in, out int) {
	next := slices.Clone(s.has[rank])
	if out != none {
		next = slices.DeleteFunc(next, func(e int) bool { return e == out })
	}
	if in != none {
		next = append(next, in)
	}
	s.set(rank, next)
}

// set gives a rank a list of experts and keeps holders and loads in step.
func (s *search) set(rank int, experts []int) {
	old := s.has[rank]
	s.has[rank] = experts
	for _, e := range old {
		if !slices.Contains(experts, e) {
			s.hold(e, -1)
		}
	}
	for _, e := range experts {
		if !slices.Contains(old, e) {
			s.hold(e, 1)
		}
	}
	s.recount(rank)
}

// hold changes how many ranks hold an expert and the loads of those that do.
func (s *search) hold(e, by int) {
	s.holders[e] += by
	for r, experts := range s.has {
		if slices.Contains(experts, e) {
			s.recount(r)
		}
	}
}

func (s *search) recount(rank int) {
	load := 0.0
	for _, e := range s.has[rank] {
		load += s.demand[e] / float64(s.holders[e])
	}
	s.loads[rank] = load / s.speed[rank]
}

// spreadWeight adds to the most loaded rank's load how uneven all are, so that a round that relieves one of two equally
// loaded ranks counts as progress.
const spreadWeight = 0.05

// cost is the skew, with the price of what must be copied.
func (s *search) cost() float64 {
	most, squares, copies := 0.0, 0.0, 0
	for r, l := range s.loads {
		l /= s.mean
		most = max(most, l)
		squares += l * l
		copies += newExperts(s.had[r], s.has[r])
	}
	return most + spreadWeight*squares/float64(len(s.loads)) + s.price*float64(copies)
}
