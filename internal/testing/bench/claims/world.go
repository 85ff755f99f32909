package claims

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/claims"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/eventqueue"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
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

type slot struct {
	ledger *claims.Ledger
	// tick is when the ledger's next Tick is planned.
	tick time.Time
}

type world struct {
	*eventqueue.Queue
	sc      Scenario
	rng     *rand.Rand
	mem     *memtable.Memory
	slots   []*slot
	arrived map[ids.Attempt]time.Time
	found   Found
}

// Run plays one scenario; the same seed gives the same result.
func Run(sc Scenario, seed uint64) Found {
	w := &world{
		Queue:   eventqueue.New(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)),
		sc:      sc,
		rng:     rand.New(rand.NewPCG(seed, 5)),
		mem:     memtable.NewMemory(),
		arrived: map[ids.Attempt]time.Time{},
	}
	for i := range sc.Slots {
		w.slots = append(w.slots, &slot{ledger: claims.NewLedger(w.options(i))})
	}
	w.arrivals()
	w.RunAll()
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
		w.In(at, func() { w.arrive(s, seq) })
	}
}

func (w *world) arrive(s *slot, seq uint64) {
	r := claims.Request{
		Client:   "client",
		Service:  "service",
		Key:      fmt.Sprint(seq),
		Attempt:  ids.Attempt{Entry: "entry", Seq: seq},
		Deadline: w.Now().Add(patience),
		Keep:     time.Hour,
	}
	w.arrived[r.Attempt] = w.Now()
	w.found.Claims++
	w.perform(s, s.ledger.Submit(w.Now(), r))
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
	if !ok || (s.tick.After(w.Now()) && !next.Before(s.tick)) {
		return
	}
	s.tick = next
	w.In(max(0, next.Sub(w.Now())), func() { w.perform(s, s.ledger.Tick(w.Now())) })
}

func (w *world) answer(s *slot, e claims.Answer) {
	if !e.Verdict.Start {
		w.found.Refused++
		return
	}
	w.found.Started++
	w.found.Waits = append(w.found.Waits, w.Now().Sub(w.arrived[e.Attempt]).Seconds())
	w.In(w.draw(runMedian, runSpread), func() {
		w.perform(s, s.ledger.Finished(w.Now(), e.Attempt, claims.Outcome{Status: 200, Body: []byte("slip")}))
	})
}

func (w *world) commit(s *slot, t platform.Txn) {
	lost := w.rng.Float64() < w.sc.Lost
	back := w.draw(tableMedian, tableSpread)
	w.In(back/2, func() {
		res, err := w.mem.Apply(t)
		wait := back / 2
		if lost {
			res, err = platform.Result{}, &platform.UnknownOutcomeError{Operation: t.Operation}
			wait = lostTimeout
		}
		w.In(wait, func() { w.perform(s, s.ledger.Committed(w.Now(), t.Operation, res, err)) })
	})
}

// draw returns a log-normal time.
func (w *world) draw(median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*w.rng.NormFloat64()))
}
