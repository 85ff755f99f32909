package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// setup configures one run.
type setup struct {
	seed uint64
	// rate is the mean request rate of the trace, in requests per second.
	rate float64
	// sharedPrefixes selects the trace whose prompts share prefixes.
	sharedPrefixes bool
	policy         string
	admit          string
	// failingRunners is the number of runners that fail requests from failFrom on.
	failingRunners int
	// retries is the retry variant.
	retries string
	// saturate sets a deadline that no request reaches, to measure the capacity of the runners.
	saturate bool
	duration time.Duration
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

	localLatency  = 100 * time.Microsecond
	remoteLatency = 500 * time.Microsecond

	failFrom        = 15 * time.Second
	slowRunnerIndex = 3
)

// world simulates one run: the runners, the entries and the messages between them.
type world struct {
	setup   setup
	clock   *clock
	rng     *rand.Rand
	runners []*runner
	entries []*entry
	source  *source
	result  *result
}

// simulate performs one run.
func simulate(s setup) *result {
	w := &world{setup: s, clock: newClock(), rng: rand.New(rand.NewPCG(s.seed, 2)), source: newSource(s.seed, s.sharedPrefixes)}
	w.result = newResult(s)
	for i := range runners {
		w.runners = append(w.runners, newRunner(w.clock, ids.Upstream(fmt.Sprintf("runner-%02d", i)), i%dataCentres))
	}
	w.runners[slowRunnerIndex].slowdown = slowdownFactor
	for i := range entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	w.injectFailures()
	for i := range w.runners {
		w.clock.every(reportInterval, func() { w.report(i) })
		w.clock.every(eventsInterval, func() { w.publish(i) })
	}
	for _, e := range w.entries {
		w.clock.every(controlInterval, e.control)
	}
	w.clock.every(usageInterval, w.exchangeUsage)
	w.arrive(w.source.generate(epoch, s.rate))
	w.clock.run(epoch.Add(s.duration))
	return w.result
}

// arrive schedules an arrival at its entry, and then the next one.
func (w *world) arrive(a arrival) {
	w.clock.at(a.at, func() {
		w.entries[a.entryOf(entries)].submit(&request{arrival: a})
		w.arrive(w.source.generate(a.at, w.setup.rate))
	})
}

// report sends the load of a runner to all entries. Each report is delayed and may get lost.
func (w *world) report(i int) {
	r := w.runners[i]
	total := r.counts(allEntries)
	for _, e := range w.entries {
		load := w.load(r, e, total)
		steps, running := r.steps, len(r.batch)
		if w.rng.Float64() < reportLoss {
			continue
		}
		w.clock.after(w.lag(reportLagMin, reportLagMax), func() { e.receiveReport(i, load, steps, running) })
	}
}

// load returns the report of a runner's slot to an entry.
func (w *world) load(r *runner, e *entry, total routing.Counts) routing.Load {
	return routing.Load{
		TakenAt: w.clock.now, Total: total, Yours: r.counts(e.index),
		StepTime: r.stepTime, PromptTokenTime: r.promptTokenTime,
	}
}

// sendResponseReport delivers the report that a response carries, with the delay of the response.
func (w *world) sendResponseReport(e *entry, r *runner) {
	load := w.load(r, e, r.counts(allEntries))
	steps, running := r.steps, len(r.batch)
	w.clock.after(e.latency(r), func() { e.receiveReport(e.indexOf(r.id), load, steps, running) })
}

// publish sends the cache events of a runner to all entries. Each message is delayed and may get lost.
func (w *world) publish(i int) {
	stored, evicted := w.runners[i].cache.takeEvents()
	for _, e := range w.entries {
		if w.rng.Float64() < eventsLoss {
			continue
		}
		w.clock.after(w.lag(eventsLagMin, eventsLagMax), func() {
			e.cachedBlocks[i].Add(stored...)
			e.cachedBlocks[i].Remove(evicted...)
		})
	}
}

// lag returns a random delay between low and high.
func (w *world) lag(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Float64()*float64(high-low))
}

// exchangeUsage sends the usage report of each entry to all others.
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

// injectFailures makes some runners fail requests. These alternate: one fails each request at its first token, the next
// fails at each token with a probability of 3%.
func (w *world) injectFailures() {
	for i := range w.setup.failingRunners {
		r := w.runners[i*runners/w.setup.failingRunners]
		probability := 1.0
		if i%2 == 1 {
			probability = 0.03
		}
		r.fails = func() bool {
			return w.clock.now.Sub(epoch) >= failFrom && w.rng.Float64() < probability
		}
	}
}
