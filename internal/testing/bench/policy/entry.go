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

// The routing policies that the tables compare.
const (
	policyExpectedWait  = "expected-wait"
	policyRoundRobin    = "round-robin"
	policyLeastRequests = "least-requests"
	policyRandomTwo     = "random-of-two"
)

// The retry variants.
const (
	retriesNone   = "none"
	retriesAlways = "always"
	retriesBudget = "budget and ejection"
	// retriesNoEjection applies the budget alone. Routing ignores the health state and gives all upstreams full weight.
	retriesNoEjection = "budget, no ejection"
)

const (
	retryPercent  = 10
	maxAttempts   = 3
	blockSetLimit = 2 * cacheBlocks
)

// request is the state of one request at its entry.
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
	finished  bool
	// overtaken counts how often a slot returned the request because other requests were ahead of it.
	overtaken int
}

// entry models one entry process. It combines the policy packages as the entry process does.
type entry struct {
	world *world
	index int
	dc    int
	rng   *rand.Rand
	// By index of the runner: this entry's own requests, the blocks that it assumes to be cached, the newest load report.
	localWork    []*routing.Work
	cachedBlocks []*prefix.BlockSet
	loads        []routing.Load

	health   *health.Tracker
	picker   routing.Picker
	nextTurn atomic.Uint64
	budget   *retry.Budget
	admit    admitter
	usage    *limits.Limiter
	waiting  map[uint64]*request
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
		e.localWork = append(e.localWork, &routing.Work{})
		e.cachedBlocks = append(e.cachedBlocks, prefix.NewBlockSet(blockSetLimit))
	}
	e.budget = retry.NewBudget(retryPercent)
	if w.setup.retries == retriesAlways {
		e.budget = retry.NewBudget(100 * maxAttempts)
	}
	e.admit = newAdmitter(w.setup, e)
	for i, r := range w.runners {
		e.receiveReport(i, routing.Load{}, r.steps, 0)
	}
	return e
}

// receiveReport records a slot's load report. It ignores one that is older than the last.
func (e *entry) receiveReport(i int, load routing.Load, steps uint64, running int) {
	if load.TakenAt.Before(e.loads[i].TakenAt) {
		return
	}
	e.loads[i] = load
	e.health.Apply(health.SlotReport{
		Upstream: e.world.runners[i].id, Service: "model", Incarnation: "1",
		Steps: steps, Running: running, StepTime: load.StepTime,
	}, e.world.clock.now)
}

// control is the entry's control loop, which runs every controlInterval.
func (e *entry) control() {
	now := e.world.clock.now
	e.health.Evaluate(now)
	e.picker = e.buildPicker(now)
	e.admit.tick(now)
}

func (e *entry) buildPicker(now time.Time) routing.Picker {
	upstreams := make([]*routing.Upstream, 0, runners)
	for i, r := range e.world.runners {
		status, _ := e.health.Status(r.id, now)
		if e.world.setup.retries == retriesNoEjection {
			status.Weight = 1
		}
		upstreams = append(upstreams, &routing.Upstream{
			ID: r.id, Weight: status.Weight, Batch: batchSize, Latency: e.latency(r),
			Load: e.loads[i], Work: e.localWork[i], Cached: e.cachedBlocks[i],
		})
	}
	switch e.world.setup.policy {
	case policyRoundRobin:
		return roundrobin.New(upstreams, &e.nextTurn)
	case policyLeastRequests:
		return leastrequests.New(upstreams)
	case policyRandomTwo:
		return randomtwo.New(upstreams)
	default:
		return expectedwait.New(upstreams, expectedwait.Defaults())
	}
}

// name identifies the entry in usage reports.
func (e *entry) name() ids.Node { return ids.Node("entry-" + strconv.Itoa(e.index)) }

// maxInFlight returns how many requests all entries together may have in flight, by this entry's view of the upstreams.
func (e *entry) maxInFlight() int {
	total := 0.0
	for _, s := range e.health.Statuses(e.world.clock.now) {
		total += s.Weight * batchSize
	}
	return int(total)
}

func (e *entry) latency(r *runner) time.Duration {
	if r.dc == e.dc {
		return localLatency
	}
	return remoteLatency
}

// submit receives a request from its caller.
func (e *entry) submit(req *request) {
	e.world.result.offered(req)
	_ = e.usage.Consume(req.client, workTokens(outputMean), e.world.clock.now) // No client of the trace has a limit.
	e.waiting[req.id] = req
	e.admit.submit(req, e.world.clock.now)
}

// start sends an admitted request. If refusal is set, it records the request as refused.
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

// attempt sends a request to the upstream that the routing policy picks.
func (e *entry) attempt(req *request, exclude []ids.Upstream) {
	now := e.world.clock.now
	choice, err := e.picker.Pick(&routing.Request{
		FirstClass: req.class == classFirst, Blocks: req.blocks, BlockTokens: blockTokens, PromptTokens: promptTokens, OutputTokens: outputMean,
		Exclude: exclude, Rand: e.rng.Uint64(),
	}, now)
	if err != nil {
		e.attemptFailed(req, retry.FailedAttempt{Err: err})
		return
	}
	i := e.indexOf(choice.Upstream.ID)
	e.cachedBlocks[i].Add(req.blocks...)
	req.runner = e.world.runners[i]
	req.flight = e.localWork[i].Start(choice.Estimate)
	number, resumeFrom := req.stream.Begin()
	e.world.result.attempted(req)
	j := &job{
		entry: e.index, priority: priorityOf(req.class), blocks: req.blocks, prompt: promptTokens,
		output: req.output, resumeFrom: resumeFrom,
	}
	j.onToken = func(cached int) { e.receiveToken(req, j, number, cached, choice) }
	j.onEnd = func() { e.complete(req) }
	j.onFailure = func() {
		e.health.Apply(health.Failed{Upstream: req.runner.id}, e.world.clock.now)
		req.flight.End()
		e.attemptFailed(req, retry.FailedAttempt{Upstream: req.runner.id, Err: failure.New(failure.CodeUpstreamFailed, nil)})
	}
	req.job = j
	e.world.clock.after(choice.Upstream.Latency, func() { e.arriveAtSlot(req, choice, exclude) })
}

// arriveAtSlot models the slot: it submits the request to the runner, or returns it unstarted if others overtook it.
func (e *entry) arriveAtSlot(req *request, choice routing.Choice, exclude []ids.Upstream) {
	first := req.class == classFirst
	switch {
	case req.job.finished:
	case e.world.setup.policy == policyExpectedWait &&
		routing.Overtaken(first, choice.PromptAhead, req.runner.counts(allEntries).PromptAhead(first), req.overtaken):
		req.overtaken++
		req.job.finished = true
		req.flight.End()
		e.world.sendResponseReport(e, req.runner)
		e.world.clock.after(choice.Upstream.Latency, func() { e.pickAgain(req, exclude) })
	default:
		req.runner.submit(req.job)
	}
}

// pickAgain repeats the routing of a returned request with the load report that the slot sent with it.
func (e *entry) pickAgain(req *request, exclude []ids.Upstream) {
	if req.finished {
		return
	}
	e.picker = e.buildPicker(e.world.clock.now)
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

func (e *entry) receiveToken(req *request, j *job, number, cached int, choice routing.Choice) {
	now := e.world.clock.now
	req.flight.Token(1)
	first := j.generated - 1
	if _, err := req.stream.Accept(number, first, 1); err != nil {
		panic(err) // The model never skips a token, so an error is a bug of the bookkeeping.
	}
	if first == j.resumeFrom {
		e.health.Apply(health.Responded{Upstream: req.runner.id}, now)
		e.world.sendResponseReport(e, req.runner)
		e.world.result.cacheHit(req, cached, choice.Estimate.CachedTokens)
	}
	if req.firstAt.IsZero() {
		req.firstAt = now.Add(2 * choice.Upstream.Latency)
		e.world.result.firstToken(req)
	} else {
		e.world.result.tokenGap(req, now.Sub(req.lastAt))
	}
	req.lastAt = now
}

func (e *entry) complete(req *request) {
	req.finished = true
	req.flight.End()
	now := e.world.clock.now
	e.world.sendResponseReport(e, req.runner)
	e.world.result.completed(req, now)
	e.admit.done(req, now)
}

// attemptFailed retries the request or fails it, as the retry session decides.
func (e *entry) attemptFailed(req *request, a retry.FailedAttempt) {
	now := e.world.clock.now
	d := req.session.Failed(a, req.stream.Delivered(), now)
	if d.Action == retry.ActionGiveUp {
		req.finished = true
		e.world.result.failed(req)
		e.admit.done(req, now)
		return
	}
	e.world.clock.after(d.After, func() {
		if !req.finished {
			e.attempt(req, d.Exclude)
		}
	})
}

// expire cancels a request whose deadline has passed, also at its runner.
func (e *entry) expire(req *request) {
	if req.finished {
		return
	}
	req.finished = true
	req.flight.End()
	req.runner.cancel(req.job)
	now := e.world.clock.now
	e.world.result.missed(req)
	e.admit.done(req, now)
}

func priorityOf(class string) int {
	if class == classFirst {
		return 0
	}
	return 1
}
