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

// Parameters of the random times.
const (
	tableLatencyMedian = 8 * time.Millisecond
	tableLatencySigma  = 0.5 // standard deviation of the logarithm
	runTimeMedian      = 20 * time.Millisecond
	runTimeSigma       = 0.5
	lostTimeout        = 500 * time.Millisecond // delay after which the ledger learns that a response was lost
	claimTimeout       = 10 * time.Second
)

// Scenario configures one run.
type Scenario struct {
	Slots int
	// Rate is the arrival rate over all slots, in claims per second.
	Rate float64
	// LostShare is the share of transactions whose response is lost after they took effect.
	LostShare float64
	Duration  time.Duration
	// Interval, MaxBatch and MaxInFlight are copied to claims.Options.
	Interval              time.Duration
	MaxBatch, MaxInFlight int
}

// Result holds the measurements of one run.
type Result struct {
	Claims, Started, Refused int
	// Writes counts transactions, Rows the rows written by them.
	Writes, Rows int
	// Waits holds the times from a claim's arrival to the start of its request, in seconds.
	Waits []float64
}

type slot struct {
	ledger *claims.Ledger
	// nextTick is the time of the ledger's next scheduled Tick.
	nextTick time.Time
}

type world struct {
	*eventqueue.Queue
	scenario Scenario
	rng      *rand.Rand
	mem      *memtable.Memory
	slots    []*slot
	arrived  map[ids.Attempt]time.Time
	result   Result
}

// Run runs one scenario. The same seed gives the same result.
func Run(sc Scenario, seed uint64) Result {
	w := &world{
		Queue:    eventqueue.New(time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)),
		scenario: sc,
		rng:      rand.New(rand.NewPCG(seed, 5)),
		mem:      memtable.NewMemory(),
		arrived:  map[ids.Attempt]time.Time{},
	}
	for i := range sc.Slots {
		w.slots = append(w.slots, &slot{ledger: claims.NewLedger(w.options(i))})
	}
	w.planArrivals()
	w.RunAll()
	w.result.Writes = w.mem.Writes
	w.result.Rows = w.mem.RowsWritten
	return w.result
}

func (w *world) options(i int) claims.Options {
	o := claims.DefaultOptions(ids.Incarnation(fmt.Sprintf("slot-%d", i)))
	o.Interval = w.scenario.Interval
	o.MaxBatch = w.scenario.MaxBatch
	o.MaxInFlight = w.scenario.MaxInFlight
	n := 0
	o.NewOperation = func() ids.Operation {
		n++
		return ids.Operation(fmt.Sprintf("%d-%d", i, n))
	}
	return o
}

// planArrivals schedules independent arrivals, each at a random slot.
func (w *world) planArrivals() {
	mean := float64(time.Second) / w.scenario.Rate
	var at time.Duration
	for seq := uint64(0); ; seq++ {
		at += time.Duration(w.rng.ExpFloat64() * mean)
		if at >= w.scenario.Duration {
			return
		}
		s := w.slots[w.rng.IntN(len(w.slots))]
		w.In(at, func() { w.arrive(s, seq) })
	}
}

func (w *world) arrive(s *slot, seq uint64) {
	r := claims.Request{
		Client:    "client",
		Service:   "service",
		Key:       fmt.Sprint(seq),
		Attempt:   ids.Attempt{Entry: "entry", Seq: seq},
		Deadline:  w.Now().Add(claimTimeout),
		Retention: time.Hour,
	}
	w.arrived[r.Attempt] = w.Now()
	w.result.Claims++
	w.apply(s, s.ledger.Submit(w.Now(), r))
}

// apply executes the effects of a ledger and schedules its next tick.
func (w *world) apply(s *slot, effects []claims.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case claims.DeliverVerdict:
			w.handleVerdict(s, e)
		case claims.Commit:
			w.commit(s, e.Txn)
		}
	}
	w.planTick(s)
}

// planTick schedules the ledger's next Tick, unless one is already scheduled that is early enough.
func (w *world) planTick(s *slot) {
	next, ok := s.ledger.Next()
	if !ok || (s.nextTick.After(w.Now()) && !next.Before(s.nextTick)) {
		return
	}
	s.nextTick = next
	w.In(max(0, next.Sub(w.Now())), func() { w.apply(s, s.ledger.Tick(w.Now())) })
}

// handleVerdict records the ledger's verdict for a claim, and schedules the end of a request that starts.
func (w *world) handleVerdict(s *slot, e claims.DeliverVerdict) {
	if !e.Verdict.Start {
		w.result.Refused++
		return
	}
	w.result.Started++
	w.result.Waits = append(w.result.Waits, w.Now().Sub(w.arrived[e.Attempt]).Seconds())
	w.In(w.logNormal(runTimeMedian, runTimeSigma), func() {
		w.apply(s, s.ledger.Finished(w.Now(), e.Attempt, claims.Outcome{Status: 200, Body: []byte("slip")}))
	})
}

// commit applies a transaction to the table after a random latency.
func (w *world) commit(s *slot, t platform.Txn) {
	lost := w.rng.Float64() < w.scenario.LostShare
	latency := w.logNormal(tableLatencyMedian, tableLatencySigma)
	w.In(latency/2, func() {
		res, err := w.mem.Apply(t)
		wait := latency / 2
		if lost {
			res, err = platform.Result{}, &platform.UnknownOutcomeError{Operation: t.Operation}
			wait = lostTimeout
		}
		w.In(wait, func() { w.apply(s, s.ledger.Committed(w.Now(), t.Operation, res, err)) })
	})
}

// logNormal returns a random time with a log-normal distribution.
func (w *world) logNormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*w.rng.NormFloat64()))
}
