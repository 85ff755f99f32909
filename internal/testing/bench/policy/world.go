package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// setup is one run.
type setup struct {
	seed uint64
	// rate is the requests a second of the trace.
	rate float64
	// shared says that prompts share prefixes.
	shared bool
	policy string
	admit  string
	// failing is how many runners fail requests, between failFrom and failTo; retries says by which rules they are
	// tried again.
	failing int
	retries string
	// saturate starts requests without a deadline and measures what the runners can carry.
	saturate bool
	run      time.Duration
	warmup   time.Duration
}

const (
	entries     = 6
	runners     = 16
	dataCentres = 3

	reportInterval = 100 * time.Millisecond
	reportLagMin   = 50 * time.Millisecond
	reportLagMax   = 250 * time.Millisecond
	reportLoss     = 0.02

	eventsInterval = 200 * time.Millisecond
	eventsLagMin   = 200 * time.Millisecond
	eventsLagMax   = time.Second
	eventsLoss     = 0.1

	usageInterval = time.Second

	controlInterval = 50 * time.Millisecond

	distanceNear = 100 * time.Microsecond
	distanceFar  = 500 * time.Microsecond

	failFrom = 15 * time.Second
	slowOne  = 3
)

// world is one run: runners, entries and what passes between them.
type world struct {
	setup   setup
	clock   *clock
	rng     *rand.Rand
	runners []*runner
	entries []*entry
	source  *source
	result  *result
}

// simulate carries out one run.
func simulate(s setup) *result {
	w := &world{setup: s, clock: newClock(), rng: rand.New(rand.NewPCG(s.seed, 2)), source: newSource(s.seed, s.shared)}
	w.result = newResult(s)
	for i := range runners {
		w.runners = append(w.runners, newRunner(w.clock, ids.Upstream(fmt.Sprintf("runner-%02d", i)), i%dataCentres))
	}
	w.runners[slowOne].slow = slowFactor
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	w.breakRunners()
	for i := range w.runners {
		w.clock.every(reportInterval, func() { w.report(i) })
		w.clock.every(eventsInterval, func() { w.publish(i) })
	}
	for _, e := range w.entries {
		w.clock.every(controlInterval, e.control)
	}
	w.clock.every(usageInterval, w.exchangeUsage)
	w.arrive(w.source.draw(epoch, s.rate))
	w.clock.run(epoch.Add(s.run))
	return w.result
}

// arrive hands an arrival to its entry when its time comes, and draws the next.
func (w *world) arrive(a arrival) {
	w.clock.at(a.at, func() {
		w.entries[a.entryOf(entries)].submit(&request{arrival: a})
		w.arrive(w.source.draw(a.at, w.setup.rate))
	})
}

// report sends the load of a runner to all entries, each of which gets it late or never.
func (w *world) report(i int) {
	r := w.runners[i]
	total := r.counts(everyEntry)
	for _, e := range w.entries {
		load := w.load(r, e, total)
		steps, running := r.steps, len(r.batch)
		if w.rng.Float64() < reportLoss {
			continue
		}
		w.clock.after(w.lag(reportLagMin, reportLagMax), func() { e.heard(i, load, steps, running) })
	}
}

// load is what the slot beside a runner reports to an entry.
func (w *world) load(r *runner, e *entry, total routing.Counts) routing.Load {
	return routing.Load{
		TakenAt: w.clock.now, Total: total, Yours: r.counts(e.index),
		StepTime: r.stepTime, PromptTokenTime: r.prefill,
	}
}

// answerReport delivers the report that rides on an answer, which is as fast as the answer.
func (w *world) answerReport(e *entry, r *runner) {
	load := w.load(r, e, r.counts(everyEntry))
	steps, running := r.steps, len(r.batch)
	w.clock.after(e.distance(r), func() { e.heard(e.indexOf(r.id), load, steps, running) })
}

// publish sends the cache events of a runner to all entries, late and with gaps.
func (w *world) publish(i int) {
	stored, evicted := w.runners[i].cache.events()
	for _, e := range w.entries {
		if w.rng.Float64() < eventsLoss {
			continue
		}
		w.clock.after(w.lag(eventsLagMin, eventsLagMax), func() {
			e.tables[i].Add(stored...)
			e.tables[i].Remove(evicted...)
		})
	}
}

func (w *world) lag(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Float64()*float64(high-low))
}

// exchangeUsage has each entry tell the others what its clients ask for.
func (w *world) exchangeUsage() {
	for _, from := range w.entries {
		report := from.usage.Report(w.clock.now)
		for _, to := range w.entries {
			if to == from {
				continue
			}
			w.clock.after(w.lag(reportLagMin, reportLagMax), func() { to.usage.MergeReport(from.name(), report, w.clock.now) })
		}
	}
}

// breakRunners makes some runners fail requests: half of these at the first token, half of them somewhere in the
// answer.
func (w *world) breakRunners() {
	for i := range w.setup.failing {
		r := w.runners[i*runners/w.setup.failing]
		chance := 1.0
		if i%2 == 1 {
			chance = 0.03
		}
		r.fails = func() bool {
			return w.clock.now.Sub(epoch) >= failFrom && w.rng.Float64() < chance
		}
	}
}
