package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/expectedwait"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/report"
)

// The target size and the load at which the subsets are measured.
const (
	targetEntries     = 360
	targetRunners     = 780
	targetDataCentres = 6
	targetModels      = 3
	targetRequests    = 8200
	targetBatch       = 64
	// meanServiceTime is the mean time of a request at its runner: 207 tokens of 20 ms.
	meanServiceTime = 4140 * time.Millisecond

	subsetRun      = 40 * time.Second
	subsetWarmup   = 15 * time.Second
	sampleInterval = 250 * time.Millisecond

	// digestBytes is the size of one report on the wire. digestBudget is how many bytes of reports an entry may receive
	// per second: half of the 6 KB/s that a node may use for control traffic.
	digestBytes  = 190
	digestBudget = 3000
)

// The rules by which a slot chooses the entries that it reports to.
const (
	chooseRendezvous = "rendezvous"
	chooseEven       = "even"
)

// subsetSetup configures one run: each slot sends its reports to size entries of its own data centre.
type subsetSetup struct {
	seed uint64
	size int
	rule string
}

// subsetResult holds the measurements of one run.
type subsetResult struct {
	// minUpstreams, maxUpstreams and meanUpstreams describe how many upstreams of one model an entry has.
	// entriesMissingModel counts the entries that have no upstream for at least one model.
	minUpstreams, maxUpstreams, entriesMissingModel int
	meanUpstreams                                   float64
	// reportInterval is the time between two reports of a slot. With it an entry receives digestBudget bytes per second
	// on average.
	reportInterval time.Duration
	// inFlight holds samples of the number of requests at each runner.
	inFlight []float64
	// sentToFull counts the requests that were sent to a runner whose batch was full, out of all sent after the warm-up.
	sentToFull, sent int
	refused          int
}

type subsetRunner struct {
	model, dataCentre int
	requests          int
	// targets holds the indexes of the entries that the runner's slot reports to.
	targets []int
}

type subsetEntry struct {
	dataCentre int
	upstreams  [targetModels][]*routing.Upstream
	pickers    [targetModels]routing.Picker
	// upstreamIndex maps the index of a runner to its position in upstreams.
	upstreamIndex map[int]int
}

// subsetWorld is a run at the target size. A request occupies a batch slot of its runner for its service time.
type subsetWorld struct {
	setup   subsetSetup
	clock   *clock
	rng     *rand.Rand
	runners []*subsetRunner
	entries []*subsetEntry
	result  subsetResult
}

// simulateSubset performs one run.
func simulateSubset(s subsetSetup) subsetResult {
	w := &subsetWorld{setup: s, clock: newClock(), rng: rand.New(rand.NewPCG(s.seed, uint64(s.size)))}
	for i := range targetEntries {
		w.entries = append(w.entries, &subsetEntry{dataCentre: i % targetDataCentres, upstreamIndex: make(map[int]int)})
	}
	for i := range targetRunners {
		w.runners = append(w.runners, &subsetRunner{dataCentre: i % targetDataCentres, model: i / targetDataCentres % targetModels})
	}
	w.chooseTargets()
	w.countUpstreams()
	w.result.reportInterval = time.Duration(w.result.meanUpstreams * targetModels * digestBytes / digestBudget * float64(time.Second))
	for i := range w.runners {
		offset := time.Duration(w.rng.Float64() * float64(w.result.reportInterval))
		w.clock.after(offset, func() { w.clock.every(w.result.reportInterval, func() { w.sendReports(i) }) })
	}
	w.clock.every(sampleInterval, w.sample)
	w.arrive()
	w.clock.run(epoch.Add(subsetRun))
	return w.result
}

// chooseTargets chooses the entries that each slot reports to.
func (w *subsetWorld) chooseTargets() {
	for dc := range targetDataCentres {
		var local []int
		for i, e := range w.entries {
			if e.dataCentre == dc {
				local = append(local, i)
			}
		}
		nextIndex := make([]int, targetModels)
		for i, r := range w.runners {
			if r.dataCentre != dc {
				continue
			}
			for _, e := range w.targetsOf(i, r, local, nextIndex) {
				w.connect(i, r, e)
			}
		}
	}
}

// targetsOf returns the local entries that the slot of runner i reports to: by rendezvous hashing, or round-robin for
// each model.
func (w *subsetWorld) targetsOf(i int, r *subsetRunner, local, nextIndex []int) []int {
	n := min(w.setup.size, len(local))
	if w.setup.rule == chooseRendezvous {
		sorted := slices.SortedFunc(slices.Values(local), func(a, b int) int {
			return cmp.Compare(routing.Mix(w.setup.seed+uint64(a), uint64(i)), routing.Mix(w.setup.seed+uint64(b), uint64(i)))
		})
		return sorted[:n]
	}
	var chosen []int
	for range n {
		chosen = append(chosen, local[nextIndex[r.model]%len(local)])
		nextIndex[r.model]++
	}
	return chosen
}

// connect adds runner i to the upstreams of an entry, and the entry to the targets of the runner's slot.
func (w *subsetWorld) connect(i int, r *subsetRunner, entry int) {
	e := w.entries[entry]
	r.targets = append(r.targets, entry)
	e.upstreamIndex[i] = len(e.upstreams[r.model])
	e.upstreams[r.model] = append(e.upstreams[r.model], &routing.Upstream{
		ID: ids.Upstream(fmt.Sprintf("runner-%03d", i)), Address: fmt.Sprint(i), Weight: 1, Batch: targetBatch, Work: &routing.Work{},
	})
}

// countUpstreams records how many upstreams of each model the entries have, and builds their pickers.
func (w *subsetWorld) countUpstreams() {
	r := &w.result
	r.minUpstreams = math.MaxInt
	total := 0
	for _, e := range w.entries {
		missing := false
		for m := range targetModels {
			n := len(e.upstreams[m])
			r.minUpstreams, r.maxUpstreams = min(r.minUpstreams, n), max(r.maxUpstreams, n)
			total += n
			missing = missing || n == 0
			e.pickers[m] = expectedwait.New(e.upstreams[m], expectedwait.Defaults())
		}
		if missing {
			r.entriesMissingModel++
		}
	}
	r.meanUpstreams = float64(total) / targetEntries / targetModels
}

// sendReports sends the load of runner i to the entries that its slot reports to.
func (w *subsetWorld) sendReports(i int) {
	for _, entry := range w.runners[i].targets {
		load := w.load(i, entry)
		w.clock.after(reportLagMin, func() { w.receiveReport(i, entry, load) })
	}
}

// load returns the report of runner i's slot to an entry.
func (w *subsetWorld) load(i, entry int) routing.Load {
	e, r := w.entries[entry], w.runners[i]
	return routing.Load{
		TakenAt: w.clock.now,
		Total:   routing.Counts{Running: r.requests, OutputTokens: r.requests * outputMean},
		Yours:   e.upstreams[r.model][e.upstreamIndex[i]].Work.Counts(),
	}
}

// receiveReport replaces an upstream by a copy with the new load and rebuilds the picker.
func (w *subsetWorld) receiveReport(i, entry int, load routing.Load) {
	e, r := w.entries[entry], w.runners[i]
	list := slices.Clone(e.upstreams[r.model])
	u := *list[e.upstreamIndex[i]]
	u.Load = load
	list[e.upstreamIndex[i]] = &u
	e.upstreams[r.model] = list
	e.pickers[r.model] = expectedwait.New(list, expectedwait.Defaults())
}

// arrive sends requests for random models to random entries.
func (w *subsetWorld) arrive() {
	w.clock.after(time.Duration(w.rng.ExpFloat64()/targetRequests*float64(time.Second)), func() {
		w.send(w.rng.IntN(targetEntries), w.rng.IntN(targetModels))
		w.arrive()
	})
}

// send routes one request, and schedules its end and the report that its response carries.
func (w *subsetWorld) send(entry, model int) {
	measured := w.clock.now.Sub(epoch) >= subsetWarmup
	choice, err := w.entries[entry].pickers[model].Pick(&routing.Request{OutputTokens: outputMean, Rand: w.rng.Uint64()}, w.clock.now)
	if err != nil {
		w.result.refused++
		return
	}
	var i int
	_, _ = fmt.Sscan(choice.Upstream.Address, &i)
	r := w.runners[i]
	if measured {
		w.result.sent++
		if r.requests >= targetBatch {
			w.result.sentToFull++
		}
	}
	r.requests++
	flight := choice.Upstream.Work.Start(choice.Estimate)
	flight.Token(1)
	mu := -outputSigma * outputSigma / 2
	serviceTime := time.Duration(float64(meanServiceTime) * math.Exp(mu+outputSigma*w.rng.NormFloat64()))
	w.clock.after(serviceTime, func() {
		r.requests--
		flight.End()
		load := w.load(i, entry)
		w.clock.after(localLatency, func() { w.receiveReport(i, entry, load) })
	})
}

// sample records the number of requests at each runner, after the warm-up.
func (w *subsetWorld) sample() {
	if w.clock.now.Sub(epoch) < subsetWarmup {
		return
	}
	for _, r := range w.runners {
		w.result.inFlight = append(w.result.inFlight, float64(r.requests))
	}
}

// subsetTable runs both rules for a range of subset sizes.
func subsetTable(seed uint64) *report.Table {
	t := &report.Table{
		Title: fmt.Sprintf("Subsets: %d entries, %d runners of %d models in %d data centres, %d requests/s, %.0f B/s of reports for an entry",
			targetEntries, targetRunners, targetModels, targetDataCentres, targetRequests, float64(digestBudget)),
		Columns: []string{
			"entries a slot tells", "chosen by", "upstreams of a model an entry knows, least", "mean", "most", "entries that lack a model",
			"report every, s", "in flight at a runner, p99 over mean", "most over mean", "sent to a full batch, %", "refused",
		},
	}
	for _, size := range []int{4, 8, 16, 24, 32, 48, 60} {
		for _, rule := range []string{chooseRendezvous, chooseEven} {
			r := simulateSubset(subsetSetup{seed: seed, size: size, rule: rule})
			s := report.Summarize(r.inFlight)
			t.Add(size, rule, r.minUpstreams, r.meanUpstreams, r.maxUpstreams, r.entriesMissingModel, r.reportInterval.Seconds(),
				report.Quantile(0.99, r.inFlight)/s.Mean, s.Max/s.Mean, 100*ratio(float64(r.sentToFull), float64(r.sent)), r.refused)
		}
	}
	return t
}
