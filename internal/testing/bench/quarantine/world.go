package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/eventqueue"
)

// Times and sizes that all scenarios share.
const (
	runShortest    = time.Second
	runLongest     = 3 * time.Second
	runMean        = (runShortest + runLongest) / 2
	patience       = 10 * time.Second
	retryAfter     = 300 * time.Millisecond
	restartTime    = 15 * time.Second
	digestInterval = 250 * time.Millisecond
	digestLate     = 100 * time.Millisecond
	digestLoss     = 0.1
	digestLimit    = 32
	poisonResend   = 500 * time.Millisecond
	poisonMin      = 50 * time.Millisecond
	poisonSpread   = 450 * time.Millisecond
	period         = time.Hour
	poison         = -1
)

// Scenario is one run.
type Scenario struct {
	Entries, Upstreams int
	// Batch is how many requests an upstream runs on average.
	Batch float64
	// Poison says whether the request that crashes its upstreams is there.
	Poison bool
	// OwnDeaths is how often, on average, an upstream dies for a reason of its own; 0 for never.
	OwnDeaths time.Duration
	Duration  time.Duration
	// Off leaves the quarantine out, as a baseline.
	Off bool
}

// Found is what one run measured.
type Found struct {
	// Taken is how many times the poisonous request took an upstream down; Deaths counts all deaths.
	Taken, Deaths int
	// Innocents is how many other requests arrived, Refused how many of them were ever refused as suspects, Late how
	// many were not answered in time, and RanAlone how often one of them ran alone.
	Innocents, Refused, Late, RanAlone int
}

type upstream struct {
	id    ids.Upstream
	guard *quarantine.Guard
	up    bool
	runs  map[quarantine.Ticket]*request
	waits map[quarantine.Ticket]*request
	life  int
}

type entry struct {
	tracker *quarantine.Tracker
	// down holds the upstreams that the entry believes to be dead.
	down map[ids.Upstream]bool
}

// request is one copy of a request at an entry.
type request struct {
	number   int
	print    quarantine.Fingerprint
	entry    *entry
	deadline time.Time
	level    quarantine.Level
	// broke is set once an upstream died under it, or so it seemed: the entry does not wait for the slot's report.
	broke bool
}

type world struct {
	*eventqueue.Queue
	sc        Scenario
	rng       *rand.Rand
	entries   []*entry
	upstreams []*upstream
	found     Found
}

// Run plays one scenario; the same seed gives the same result.
func Run(sc Scenario, seed uint64) Found {
	begin := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{Queue: eventqueue.New(begin), sc: sc, rng: rand.New(rand.NewPCG(seed, 9))}
	for i := range sc.Upstreams {
		id := ids.Upstream(fmt.Sprintf("u%d", i))
		w.upstreams = append(w.upstreams, &upstream{
			id:    id,
			guard: quarantine.NewGuard(ids.Incarnation(id), period),
			up:    true,
			runs:  map[quarantine.Ticket]*request{},
			waits: map[quarantine.Ticket]*request{},
		})
	}
	for range sc.Entries {
		e := &entry{tracker: quarantine.NewTracker(quarantine.Rules{Period: period}), down: map[ids.Upstream]bool{}}
		w.entries = append(w.entries, e)
	}
	w.plan()
	w.Run(begin.Add(sc.Duration))
	return w.found
}

func (w *world) plan() {
	for _, u := range w.upstreams {
		w.In(w.phase(), func() { w.slotDigest(u) })
		w.ownDeath(u)
	}
	for _, e := range w.entries {
		w.In(w.phase(), func() { w.entryDigest(e) })
	}
	w.innocent(0)
	if w.sc.Poison {
		for _, e := range w.entries {
			w.In(10*time.Second, func() { w.sendPoison(e) })
		}
	}
}

func (w *world) phase() time.Duration {
	return time.Duration(w.rng.Float64() * float64(digestInterval))
}

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// innocent sends one request that harms nobody and plans the next.
func (w *world) innocent(number int) {
	rate := w.sc.Batch * float64(w.sc.Upstreams) / runMean.Seconds()
	w.In(w.exp(time.Duration(float64(time.Second)/rate)), func() {
		w.found.Innocents++
		w.send(number, w.entries[w.rng.IntN(len(w.entries))])
		w.innocent(number + 1)
	})
}

func (w *world) sendPoison(e *entry) { w.send(poison, e) }

func (w *world) send(number int, e *entry) {
	r := &request{number: number, entry: e, deadline: w.Now().Add(patience)}
	binary.BigEndian.PutUint64(r.print[:], uint64(number))
	w.route(r)
}

// route sends a request to an upstream, or refuses it.
func (w *world) route(r *request) {
	if w.Now().After(r.deadline) {
		w.answer(r, false)
		return
	}
	if !w.sc.Off {
		r.level, _ = r.entry.tracker.Classify(w.Now(), r.print)
		if r.broke {
			r.level = max(r.level, quarantine.Suspected)
		}
	}
	if r.level == quarantine.Refused {
		w.refused(r)
		return
	}
	u := w.pick(r)
	if u == nil {
		w.later(r)
		return
	}
	w.In(time.Millisecond, func() { w.arrive(r, u) })
}

func (w *world) pick(r *request) *upstream {
	var ready []ids.Upstream
	byID := map[ids.Upstream]*upstream{}
	for _, u := range w.upstreams {
		if !r.entry.down[u.id] {
			ready = append(ready, u.id)
			byID[u.id] = u
		}
	}
	if len(ready) == 0 {
		return nil
	}
	if r.level == quarantine.Clear {
		return byID[ready[w.rng.IntN(len(ready))]]
	}
	return byID[quarantine.AssignedUpstream(r.print, ready)]
}

func (w *world) later(r *request) { w.In(retryAfter, func() { w.route(r) }) }

func (w *world) refused(r *request) {
	if r.number != poison {
		w.found.Refused++
	}
	w.answer(r, true)
}

// answer ends a request; the poisonous one is sent again.
func (w *world) answer(r *request, inTime bool) {
	if r.number == poison {
		w.In(poisonResend, func() { w.sendPoison(r.entry) })
		return
	}
	if !inTime {
		w.found.Late++
	}
}
