package claims

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/faulttest/memtable"
	"github.com/cardamomyoke/cardamomyoke/internal/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/platform"
)

// Shapes of the drawn times.
const (
	tableMedian = 8 * time.Millisecond
	tableSpread = 0.5 // of the logarithm
	runMedian   = 20 * time.Millisecond
	runSpread   = 0.5
	lostTimeout = 500 * time.Millisecond
	patience    = 10 * time.Second
)

// Scenario is one run.
type Scenario struct {
	Slots int
	// Rate is claims a second over all slots.
	Rate float64
	// Lost is the share of transactions whose answer is lost after they took effect.
	Lost     float64
	Duration time.Duration
	// Interval, MaxBatch and MaxInFlight are those of claims.Options.
	Interval              time.Duration
	MaxBatch, MaxInFlight int
}

// Found is what one run measured.
type Found struct {
	Claims, Started, Refused int
	// Writes are transactions, Rows the rows in them.
	Writes, Rows int
	// Waits are seconds from a claim's arrival to its start.
	Waits []float64
}

// step is something that happens at a time.
type step struct {
	at    time.Time
	order int
	do    func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].order < s[j].order
	}
	return s[i].at.Before(s[j].at)
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

// Pop implements heap.Interface.
func (s *steps) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

type slot struct {
	ledger *claims.Ledger
	// tick is when the ledger's next Tick is planned.
	tick time.Time
}

type world struct {
	sc      Scenario
	rng     *rand.Rand
	now     time.Time
	steps   steps
	order   int
	mem     *memtable.Memory
	slots   []*slot
	arrived map[ids.Attempt]time.Time
	found   Found
}

// Run plays one scenario; the same seed gives the same result.
func Run(sc Scenario, seed uint64) Found {
	w := &world{
		sc:      sc,
		rng:     rand.New(rand.NewPCG(seed, 5)),
		now:     time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		mem:     memtable.NewMemory(),
		arrived: map[ids.Attempt]time.Time{},
	}
	for i := range sc.Slots {
		w.slots = append(w.slots, &slot{ledger: claims.NewLedger(w.options(i))})
	}
	w.arrivals()
	for len(w.steps) > 0 {
		next := heap.Pop(&w.steps).(step)
		w.now = next.at
		next.do()
	}
	w.found.Writes = w.mem.Writes
	w.found.Rows = w.mem.RowsWritten
	return w.found
}

func (w *world) options(i int) claims.Options {
	o := claims.DefaultOptions(ids.Incarnation(fmt.Sprintf("slot-%d", i)))
	o.Interval = w.sc.Interval
	o.MaxBatch = w.sc.MaxBatch
	o.MaxInFlight = w.sc.MaxInFlight
	n := 0
	o.NewOperation = func() ids.Operation {
		n++
		return ids.Operation(fmt.Sprintf("%d-%d", i, n))
	}
	return o
}

func (w *world) at(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.steps, step{w.now.Add(d), w.order, do})
}

// arrivals plans independent arrivals, each at a slot drawn at random.
func (w *world) arrivals() {
	mean := float64(time.Second) / w.sc.Rate
	var at time.Duration
	for seq := uint64(0); ; seq++ {
		at += time.Duration(w.rng.ExpFloat64() * mean)
		if at >= w.sc.Duration {
			return
		}
		s := w.slots[w.rng.IntN(len(w.slots))]
		w.at(at, func() { w.arrive(s, seq) })
	}
}

func (w *world) arrive(s *slot, seq uint64) {
	r := claims.Request{
		Client:   "client",
		Service:  "service",
		Key:      fmt.Sprint(seq),
		Attempt:  ids.Attempt{Entry: "entry", Seq: seq},
		Deadline: w.now.Add(patience),
		Keep:     time.Hour,
	}
	w.arrived[r.Attempt] = w.now
	w.found.Claims++
	w.perform(s, s.ledger.Arrive(w.now, r))
}

func (w *world) perform(s *slot, effects []claims.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claims.Answer:
			w.answer(s, e)
		case claims.Commit:
			w.commit(s, e.Txn)
		}
	}
	w.planTick(s)
}

func (w *world) planTick(s *slot) {
	next, ok := s.ledger.Next()
	if !ok || (s.tick.After(w.now) && !next.Before(s.tick)) {
		return
	}
	s.tick = next
	w.at(max(0, next.Sub(w.now)), func() { w.perform(s, s.ledger.Tick(w.now)) })
}

func (w *world) answer(s *slot, e claims.Answer) {
	if !e.Verdict.Start {
		w.found.Refused++
		return
	}
	w.found.Started++
	w.found.Waits = append(w.found.Waits, w.now.Sub(w.arrived[e.Attempt]).Seconds())
	w.at(w.draw(runMedian, runSpread), func() {
		w.perform(s, s.ledger.Finished(w.now, e.Attempt, claims.Outcome{Status: 200, Body: []byte("slip")}))
	})
}

func (w *world) commit(s *slot, t platform.Txn) {
	lost := w.rng.Float64() < w.sc.Lost
	back := w.draw(tableMedian, tableSpread)
	w.at(back/2, func() {
		res, err := w.mem.Apply(t)
		wait := back / 2
		if lost {
			res, err = platform.Result{}, &platform.UnknownOutcomeError{Operation: t.Operation}
			wait = lostTimeout
		}
		w.at(wait, func() { w.perform(s, s.ledger.Committed(w.now, t.Operation, res, err)) })
	})
}

// draw returns a log-normal time.
func (w *world) draw(median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*w.rng.NormFloat64()))
}
