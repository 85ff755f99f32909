package policy

import (
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/health"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/expectedwait"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/leastrequests"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/randomtwo"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/roundrobin"
)

// The routing policies of the tables.
const (
	policyExpectedWait  = "expected-wait"
	policyRoundRobin    = "round-robin"
	policyLeastRequests = "least-requests"
	policyRandomTwo     = "random-of-two"
)

// The rules for retries.
const (
	retriesNone   = "none"
	retriesAlways = "always"
	retriesBudget = "budget and ejection"
	// retriesBlind: the budget alone, with all upstreams used as if health knew nothing.
	retriesBlind = "budget, no ejection"
)

const (
	retryPercent = 10
	maxAttempts  = 3
	tableBlocks  = 2 * cacheBlocks
)

// request is one request at its entry.
type request struct {
	arrival
	startedAt time.Time
	firstAt   time.Time
	lastAt    time.Time
	session   *retry.Session
	stream    retry.Stream
	flight    *routing.Flight
	runner    *runner
	job       *job
	over      bool
	// overtaken counts how often a slot sent the request back because others' work came first.
	overtaken int
}

// entry is the model of one entry process: the pure packages, wired as in the process.
type entry struct {
	world   *world
	index   int
	dc      int
	rng     *rand.Rand
	works   []*routing.Work
	tables  []*prefix.BlockSet
	loads   []routing.Load
	health  *health.Tracker
	picker  routing.Picker
	turn    atomic.Uint64
	budget  *retry.Budget
	admit   admitter
	usage   *limits.Limiter
	waiting map[uint64]*request
}

func newEntry(w *world, index int) *entry {
	e := &entry{
		world: w, index: index, dc: index % dataCentres,
		rng:     rand.New(rand.NewPCG(w.setup.seed, 100+uint64(index))),
		loads:   make([]routing.Load, runners),
		health:  health.New(health.Defaults(), epoch),
		usage:   limits.New(limits.Defaults(), entries),
		waiting: make(map[uint64]*request),
	}
	for range runners {
		e.works = append(e.works, &routing.Work{})
		e.tables = append(e.tables, prefix.NewBlockSet(tableBlocks))
	}
	e.budget = retry.NewBudget(retryPercent)
	if w.setup.retries == retriesAlways {
		e.budget = retry.NewBudget(100 * maxAttempts)
	}
	e.admit = newAdmitter(w.setup, e)
	for i, r := range w.runners {
		e.heard(i, routing.Load{}, r.steps, 0)
	}
	return e
}

// heard takes in a report of a slot.
func (e *entry) heard(i int, load routing.Load, steps uint64, running int) {
	if load.TakenAt.Before(e.loads[i].TakenAt) {
		return
	}
	e.loads[i] = load
	e.health.Apply(health.SlotReport{
		Upstream: e.world.runners[i].id, Service: "model", Incarnation: "1",
		Steps: steps, Running: running, StepTime: load.StepTime,
	}, e.world.clock.now)
}

// control is what the control goroutine does several times a second.
func (e *entry) control() {
	now := e.world.clock.now
	e.health.Evaluate(now)
	e.picker = e.build(now)
	e.admit.tick(now)
}

func (e *entry) build(now time.Time) routing.Picker {
	upstreams := make([]*routing.Upstream, 0, runners)
	for i, r := range e.world.runners {
		status, _ := e.health.Status(r.id, now)
		if e.world.setup.retries == retriesBlind {
			status.Weight = 1
		}
		upstreams = append(upstreams, &routing.Upstream{
			ID: r.id, Weight: status.Weight, Batch: batchPlaces, Distance: e.distance(r),
			Load: e.loads[i], Work: e.works[i], Cached: e.tables[i],
		})
	}
	switch e.world.setup.policy {
	case policyRoundRobin:
		return roundrobin.New(upstreams, &e.turn)
	case policyLeastRequests:
		return leastrequests.New(upstreams)
	case policyRandomTwo:
		return randomtwo.New(upstreams)
	default:
		return expectedwait.New(upstreams, expectedwait.Defaults())
	}
}

// name is the entry's name in the exchange of usage.
func (e *entry) name() ids.Node { return ids.Node("entry-" + strconv.Itoa(e.index)) }

// places returns how many requests all entries together may have started, as this entry sees the upstreams.
func (e *entry) places() int {
	total := 0.0
	for _, s := range e.health.Statuses(e.world.clock.now) {
		total += s.Weight * batchPlaces
	}
	return int(total)
}

func (e *entry) distance(r *runner) time.Duration {
	if r.dc == e.dc {
		return distanceNear
	}
	return distanceFar
}

// submit takes in a request from its caller.
func (e *entry) submit(req *request) {
	e.world.result.offered(req)
	_ = e.usage.Consume(req.client, workOf(outputMean), e.world.clock.now) // No client of the trace has a limit.
	e.waiting[req.id] = req
	e.admit.submit(req, e.world.clock.now)
}

// start sends an admitted request, or answers its caller with the refusal.
func (e *entry) start(id uint64, refusal error) {
	req := e.waiting[id]
	delete(e.waiting, id)
	now := e.world.clock.now
	if refusal != nil {
		e.world.result.refused(req, now)
		return
	}
	req.startedAt = now
	req.session = retry.NewSession(e.rules(), e.budget, e.deadline(req))
	e.world.clock.at(e.deadline(req), func() { e.expire(req) })
	e.attempt(req, nil)
}

func (e *entry) deadline(req *request) time.Time {
	if e.world.setup.saturate {
		return req.at.Add(time.Hour)
	}
	return req.at.Add(deadline)
}

func (e *entry) rules() retry.Rules {
	rules := retry.DefaultRules(true, true)
	rules.MaxAttempts = maxAttempts
	if e.world.setup.retries == retriesNone {
		rules.MaxAttempts = 1
	}
	return rules
}

// attempt sends a request to the upstream that the policy picks.
func (e *entry) attempt(req *request, exclude []ids.Upstream) {
	now := e.world.clock.now
	choice, err := e.picker.Pick(&routing.Request{
		FirstClass: req.class == classFirst, Blocks: req.blocks, BlockTokens: blockTokens, PromptTokens: promptTokens, OutputTokens: outputMean,
		Exclude: exclude, Rand: e.rng.Uint64(),
	}, now)
	if err != nil {
		e.failed(req, retry.Attempt{Err: err})
		return
	}
	i := e.indexOf(choice.Upstream.ID)
	e.tables[i].Add(req.blocks...)
	req.runner = e.world.runners[i]
	req.flight = e.works[i].Start(choice.Estimate)
	number, from := req.stream.Begin()
	e.world.result.attempted(req)
	j := &job{
		entry: e.index, rank: rankOf(req.class), blocks: req.blocks, prompt: promptTokens,
		output: req.output, from: from,
	}
	j.onToken = func(cached int) { e.token(req, j, number, cached, choice) }
	j.onEnd = func() { e.end(req) }
	j.onBroken = func() {
		e.health.Apply(health.Failed{Upstream: req.runner.id}, e.world.clock.now)
		req.flight.End()
		e.failed(req, retry.Attempt{Upstream: req.runner.id, Err: failure.New(failure.CodeUpstreamFailed, nil)})
	}
	req.job = j
	e.world.clock.after(choice.Upstream.Distance, func() { e.arrive(req, choice, exclude) })
}

// arrive is the slot's side: it hands the request to the runner or sends it back before its start.
func (e *entry) arrive(req *request, choice routing.Choice, exclude []ids.Upstream) {
	first := req.class == classFirst
	switch {
	case req.job.ended:
	case e.world.setup.policy == policyExpectedWait &&
		routing.Overtaken(first, choice.PromptAhead, req.runner.counts(everyEntry).PromptAhead(first), req.overtaken):
		req.overtaken++
		req.job.ended = true
		req.flight.End()
		e.world.answerReport(e, req.runner)
		e.world.clock.after(choice.Upstream.Distance, func() { e.again(req, exclude) })
	default:
		req.runner.submit(req.job)
	}
}

// again picks anew with the report that came with the refusal.
func (e *entry) again(req *request, exclude []ids.Upstream) {
	if req.over {
		return
	}
	e.picker = e.build(e.world.clock.now)
	e.attempt(req, exclude)
}

func (e *entry) indexOf(id ids.Upstream) int {
	for i, r := range e.world.runners {
		if r.id == id {
			return i
		}
	}
	return -1
}

func (e *entry) token(req *request, j *job, number, cached int, choice routing.Choice) {
	now := e.world.clock.now
	req.flight.Token(1)
	first := j.done - 1
	if _, err := req.stream.Accept(number, first, 1); err != nil {
		panic(err) // The model never skips; a gap would be a fault of the books.
	}
	if first == j.from {
		e.health.Apply(health.Responded{Upstream: req.runner.id}, now)
		e.world.answerReport(e, req.runner)
		e.world.result.hit(req, cached, choice.Estimate.CachedTokens)
	}
	if req.firstAt.IsZero() {
		req.firstAt = now.Add(2 * choice.Upstream.Distance)
		e.world.result.first(req)
	} else {
		e.world.result.gap(req, now.Sub(req.lastAt))
	}
	req.lastAt = now
}

func (e *entry) end(req *request) {
	req.over = true
	req.flight.End()
	now := e.world.clock.now
	e.world.answerReport(e, req.runner)
	e.world.result.answered(req, now)
	e.admit.done(req, now)
}

// failed asks the retry session what follows.
func (e *entry) failed(req *request, a retry.Attempt) {
	now := e.world.clock.now
	d := req.session.Failed(a, req.stream.Delivered(), now)
	if d.Action == retry.ActionGiveUp {
		req.over = true
		e.world.result.failed(req)
		e.admit.done(req, now)
		return
	}
	e.world.clock.after(d.After, func() {
		if !req.over {
			e.attempt(req, d.Exclude)
		}
	})
}

// expire gives up a request whose deadline has passed; the cancel reaches the engine.
func (e *entry) expire(req *request) {
	if req.over {
		return
	}
	req.over = true
	req.flight.End()
	req.runner.cancel(req.job)
	now := e.world.clock.now
	e.world.result.missed(req)
	e.admit.done(req, now)
}

func rankOf(class string) int {
	if class == classFirst {
		return 0
	}
	return 1
}
