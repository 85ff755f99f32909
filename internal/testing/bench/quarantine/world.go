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

// Parameters of all scenarios.
const (
	runTimeMin       = time.Second
	runTimeMax       = 3 * time.Second
	runTimeMean      = (runTimeMin + runTimeMax) / 2
	requestTimeout   = 10 * time.Second
	retryAfter       = 300 * time.Millisecond
	restartTime      = 15 * time.Second
	digestInterval   = 250 * time.Millisecond
	digestDelayMax   = 100 * time.Millisecond
	digestLoss       = 0.1
	digestLimit      = 32
	poisonResend     = 500 * time.Millisecond
	crashDelayMin    = 50 * time.Millisecond
	crashDelaySpread = 450 * time.Millisecond
	quarantinePeriod = time.Hour
	poisonNumber     = -1
)

// Scenario configures one run.
type Scenario struct {
	Entries, Upstreams int
	// Batch is the mean number of requests that run on an upstream.
	Batch float64
	// Poison adds the poisonous request to the load.
	Poison bool
	// OtherCrashInterval is the mean time between two crashes of an upstream that no request causes; 0 disables them.
	OtherCrashInterval time.Duration
	Duration           time.Duration
	// Disabled turns off the quarantine, as the baseline.
	Disabled bool
}

// Result holds the measurements of one run.
type Result struct {
	// PoisonCrashes counts the upstream crashes that the poisonous request caused, Crashes all upstream crashes.
	PoisonCrashes, Crashes int
	// OtherRequests counts the arrivals of all other requests, FalselyRefused how many of them were refused as suspects,
	// Late how many were not completed in time, and RanAlone how often one of them ran alone.
	OtherRequests, FalselyRefused, Late, RanAlone int
}

type upstream struct {
	id          ids.Upstream
	guard       *quarantine.Guard
	up          bool
	running     map[quarantine.Ticket]*request
	waiting     map[quarantine.Ticket]*request
	incarnation int
}

type entry struct {
	tracker *quarantine.Tracker
	// down holds the upstreams that are down according to the digests that the entry has received.
	down map[ids.Upstream]bool
}

// request is one copy of a request at an entry.
type request struct {
	number      int
	fingerprint quarantine.Fingerprint
	entry       *entry
	deadline    time.Time
	level       quarantine.Level
	// interrupted is set when an upstream crashes while it runs the request. The entry treats the request as suspected
	// without waiting for the slot's report.
	interrupted bool
}

type world struct {
	*eventqueue.Queue
	scenario  Scenario
	rng       *rand.Rand
	entries   []*entry
	upstreams []*upstream
	result    Result
}

// Run runs one scenario. The same seed gives the same result.
func Run(sc Scenario, seed uint64) Result {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{Queue: eventqueue.New(start), scenario: sc, rng: rand.New(rand.NewPCG(seed, 9))}
	for i := range sc.Upstreams {
		id := ids.Upstream(fmt.Sprintf("u%d", i))
		w.upstreams = append(w.upstreams, &upstream{
			id:      id,
			guard:   quarantine.NewGuard(ids.Incarnation(id), quarantinePeriod),
			up:      true,
			running: map[quarantine.Ticket]*request{},
			waiting: map[quarantine.Ticket]*request{},
		})
	}
	for range sc.Entries {
		e := &entry{tracker: quarantine.NewTracker(quarantine.Rules{Period: quarantinePeriod}), down: map[ids.Upstream]bool{}}
		w.entries = append(w.entries, e)
	}
	w.plan()
	w.Run(start.Add(sc.Duration))
	return w.result
}

// plan schedules the digests, the crashes and the first requests.
func (w *world) plan() {
	for _, u := range w.upstreams {
		w.In(w.phase(), func() { w.sendSlotDigests(u) })
		w.planOtherCrash(u)
	}
	for _, e := range w.entries {
		w.In(w.phase(), func() { w.sendEntryDigests(e) })
	}
	w.planHarmless(0)
	if w.scenario.Poison {
		for _, e := range w.entries {
			w.In(10*time.Second, func() { w.sendPoison(e) })
		}
	}
}

// phase returns a random offset, so that nodes do not send their digests at the same time.
func (w *world) phase() time.Duration {
	return time.Duration(w.rng.Float64() * float64(digestInterval))
}

func (w *world) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

// planHarmless schedules one request that crashes no upstream, and after it the next.
func (w *world) planHarmless(number int) {
	rate := w.scenario.Batch * float64(w.scenario.Upstreams) / runTimeMean.Seconds()
	w.In(w.exponential(time.Duration(float64(time.Second)/rate)), func() {
		w.result.OtherRequests++
		w.send(number, w.entries[w.rng.IntN(len(w.entries))])
		w.planHarmless(number + 1)
	})
}

func (w *world) sendPoison(e *entry) { w.send(poisonNumber, e) }

func (w *world) send(number int, e *entry) {
	r := &request{number: number, entry: e, deadline: w.Now().Add(requestTimeout)}
	binary.BigEndian.PutUint64(r.fingerprint[:], uint64(number))
	w.route(r)
}

// route sends a request to an upstream, refuses it as a suspect or lets it time out.
func (w *world) route(r *request) {
	if w.Now().After(r.deadline) {
		w.finish(r, false)
		return
	}
	if !w.scenario.Disabled {
		r.level, _ = r.entry.tracker.Classify(w.Now(), r.fingerprint)
		if r.interrupted {
			r.level = max(r.level, quarantine.Suspected)
		}
	}
	if r.level == quarantine.Refused {
		w.refuse(r)
		return
	}
	u := w.pick(r)
	if u == nil {
		w.retry(r)
		return
	}
	w.In(time.Millisecond, func() { w.arrive(r, u) })
}

// pick returns a random upstream for a clear request and the assigned upstream for a suspect; nil if all are down.
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
	return byID[quarantine.AssignedUpstream(r.fingerprint, ready)]
}

func (w *world) retry(r *request) { w.In(retryAfter, func() { w.route(r) }) }

func (w *world) refuse(r *request) {
	if r.number != poisonNumber {
		w.result.FalselyRefused++
	}
	w.finish(r, true)
}

// finish records the outcome of a request. The poisonous one is resent.
func (w *world) finish(r *request, inTime bool) {
	if r.number == poisonNumber {
		w.In(poisonResend, func() { w.sendPoison(r.entry) })
		return
	}
	if !inTime {
		w.result.Late++
	}
}
