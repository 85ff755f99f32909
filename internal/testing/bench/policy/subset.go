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

// The target size, and the load of it that the subsets are measured at.
const (
	targetEntries  = 360
	targetRunners  = 780
	targetCentres  = 6
	targetModels   = 3
	targetRequests = 8200
	targetBatch    = 64
	// stayMean is how long a request is at its runner: 207 tokens of 20 ms.
	stayMean = 4140 * time.Millisecond

	subsetRun      = 40 * time.Second
	subsetWarmup   = 15 * time.Second
	sampleInterval = 250 * time.Millisecond

	// digestBytes is one report on the wire; digestBudget is what an entry may take in of them a second, half of the
	// 6 KB/s that a node may spend for control.
	digestBytes  = 190
	digestBudget = 3000
)

// The rules by which slots choose the entries that they tell.
const (
	chooseRendezvous = "rendezvous"
	chooseEven       = "even"
)

// subsetSetup is one run: each slot tells so many entries of its own data centre.
type subsetSetup struct {
	seed uint64
	tell int
	rule string
}

// subsetResult is what one run measured.
type subsetResult struct {
	// known counts the upstreams of one model that an entry knows, least, mean and most; lacking counts the entries
	// that know none of some model.
	knownLeast, knownMost, lacking int
	knownMean                      float64
	every                          time.Duration
	// inFlight are samples of the requests at each runner.
	inFlight []float64
	// full counts the requests that were sent to a runner whose batch was full, of all that were sent.
	full, sent int
	refused    int
}

type farRunner struct {
	model, centre int
	requests      int
	// told are the entries that its slot reports to, by index of the entry.
	told []int
}

type farEntry struct {
	centre    int
	upstreams [targetModels][]*routing.Upstream
	pickers   [targetModels]routing.Picker
	// index of a runner to its place in upstreams.
	place map[int]int
}

// subsetWorld is a run at the target's size, with requests that stay at a runner for a time and need a place there.
type subsetWorld struct {
	setup   subsetSetup
	clock   *clock
	rng     *rand.Rand
	runners []*farRunner
	entries []*farEntry
	result  subsetResult
}

func simulateSubset(s subsetSetup) subsetResult {
	w := &subsetWorld{setup: s, clock: newClock(), rng: rand.New(rand.NewPCG(s.seed, uint64(s.tell)))}
	for i := range targetEntries {
		w.entries = append(w.entries, &farEntry{centre: i % targetCentres, place: make(map[int]int)})
	}
	for i := range targetRunners {
		w.runners = append(w.runners, &farRunner{centre: i % targetCentres, model: i / targetCentres % targetModels})
	}
	w.choose()
	w.count()
	w.result.every = time.Duration(w.result.knownMean * targetModels * digestBytes / digestBudget * float64(time.Second))
	for i := range w.runners {
		offset := time.Duration(w.rng.Float64() * float64(w.result.every))
		w.clock.after(offset, func() { w.clock.every(w.result.every, func() { w.tell(i) }) })
	}
	w.clock.every(sampleInterval, w.sample)
	w.arrive()
	w.clock.run(epoch.Add(subsetRun))
	return w.result
}

// choose decides which entries each slot tells.
func (w *subsetWorld) choose() {
	for centre := range targetCentres {
		var near []int
		for i, e := range w.entries {
			if e.centre == centre {
				near = append(near, i)
			}
		}
		turn := make([]int, targetModels)
		for i, r := range w.runners {
			if r.centre != centre {
				continue
			}
			for _, e := range w.targets(i, r, near, turn) {
				w.connect(i, r, e)
			}
		}
	}
}

// targets returns the entries of near that a slot tells: by hash, or by dealing them out in turn for each model.
func (w *subsetWorld) targets(i int, r *farRunner, near, turn []int) []int {
	n := min(w.setup.tell, len(near))
	if w.setup.rule == chooseRendezvous {
		sorted := slices.SortedFunc(slices.Values(near), func(a, b int) int {
			return cmp.Compare(routing.Mix(w.setup.seed+uint64(a), uint64(i)), routing.Mix(w.setup.seed+uint64(b), uint64(i)))
		})
		return sorted[:n]
	}
	var chosen []int
	for range n {
		chosen = append(chosen, near[turn[r.model]%len(near)])
		turn[r.model]++
	}
	return chosen
}

func (w *subsetWorld) connect(i int, r *farRunner, entry int) {
	e := w.entries[entry]
	r.told = append(r.told, entry)
	e.place[i] = len(e.upstreams[r.model])
	e.upstreams[r.model] = append(e.upstreams[r.model], &routing.Upstream{
		ID: ids.Upstream(fmt.Sprintf("runner-%03d", i)), Address: fmt.Sprint(i), Weight: 1, Batch: targetBatch, Work: &routing.Work{},
	})
}

// count notes how many upstreams entries know.
func (w *subsetWorld) count() {
	r := &w.result
	r.knownLeast = math.MaxInt
	total := 0
	for _, e := range w.entries {
		lacks := false
		for m := range targetModels {
			n := len(e.upstreams[m])
			r.knownLeast, r.knownMost = min(r.knownLeast, n), max(r.knownMost, n)
			total += n
			lacks = lacks || n == 0
			e.pickers[m] = expectedwait.New(e.upstreams[m], expectedwait.Defaults())
		}
		if lacks {
			r.lacking++
		}
	}
	r.knownMean = float64(total) / targetEntries / targetModels
}

// tell sends a runner's report to the entries that its slot chose.
func (w *subsetWorld) tell(i int) {
	for _, entry := range w.runners[i].told {
		load := w.load(i, entry)
		w.clock.after(reportLagMin, func() { w.heard(i, entry, load) })
	}
}

func (w *subsetWorld) load(i, entry int) routing.Load {
	e, r := w.entries[entry], w.runners[i]
	return routing.Load{
		TakenAt: w.clock.now,
		Total:   routing.Counts{Running: r.requests, OutputTokens: r.requests * outputMean},
		Yours:   e.upstreams[r.model][e.place[i]].Work.Counts(),
	}
}

// heard replaces an upstream by one with the new report and builds the picker anew.
func (w *subsetWorld) heard(i, entry int, load routing.Load) {
	e, r := w.entries[entry], w.runners[i]
	list := slices.Clone(e.upstreams[r.model])
	u := *list[e.place[i]]
	u.Load = load
	list[e.place[i]] = &u
	e.upstreams[r.model] = list
	e.pickers[r.model] = expectedwait.New(list, expectedwait.Defaults())
}

// arrive sends requests to entries at random, for models at random.
func (w *subsetWorld) arrive() {
	w.clock.after(time.Duration(w.rng.ExpFloat64()/targetRequests*float64(time.Second)), func() {
		w.send(w.rng.IntN(targetEntries), w.rng.IntN(targetModels))
		w.arrive()
	})
}

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
			w.result.full++
		}
	}
	r.requests++
	flight := choice.Upstream.Work.Start(choice.Estimate)
	flight.Token(1)
	mu := -outputSigma * outputSigma / 2
	stay := time.Duration(float64(stayMean) * math.Exp(mu+outputSigma*w.rng.NormFloat64()))
	w.clock.after(stay, func() {
		r.requests--
		flight.End()
		load := w.load(i, entry)
		w.clock.after(distanceNear, func() { w.heard(i, entry, load) })
	})
}

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
			targetEntries, targetRunners, targetModels, targetCentres, targetRequests, float64(digestBudget)),
		Columns: []string{
			"entries a slot tells", "chosen by", "upstreams of a model an entry knows, least", "mean", "most", "entries that lack a model",
			"report every, s", "in flight at a runner, p99 over mean", "most over mean", "sent to a full batch, %", "refused",
		},
	}
	for _, tell := range []int{4, 8, 16, 24, 32, 48, 60} {
		for _, rule := range []string{chooseRendezvous, chooseEven} {
			r := simulateSubset(subsetSetup{seed: seed, tell: tell, rule: rule})
			s := report.Summarize(r.inFlight)
			t.Add(tell, rule, r.knownLeast, r.knownMean, r.knownMost, r.lacking, r.every.Seconds(),
				report.Quantile(0.99, r.inFlight)/s.Mean, s.Max/s.Mean, 100*ratio(float64(r.full), float64(r.sent)), r.refused)
		}
	}
	return t
}
