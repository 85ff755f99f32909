package dispatch_test

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// class is one class of the load of the first deployment (docs/hard-load.md).
type class struct {
	perSecond float64
	target    time.Duration
	// late is the value of a late response, onTime that of one in time. Only the replay uses them.
	onTime, late float64
}

var hardClasses = []class{
	{81, 400 * time.Millisecond, 3, 0.3},
	{107, 400 * time.Millisecond, 1.6, 0.41},
	{36, 800 * time.Millisecond, 0.8, 0.3},
}

const (
	// Passes of the first deployment: steps, their duration, and what each request that writes adds.
	hardStride         = 7
	hardStepBase       = 4840 * time.Microsecond
	hardStepPerRequest = 435 * time.Microsecond
	// usualSkew and shiftSkew are the factors of a pass in general, and for shiftTime after each shift of demand.
	usualSkew, shiftSkew  = 1.2, 2.0
	shiftTime, shiftEvery = 500 * time.Millisecond, 3600 * time.Millisecond
	// workReportEvery is the interval at which a gateway of 44 reports its work to each other one.
	workReportEvery = 300 * time.Millisecond
	hardTime        = 44 * time.Second
)

// burst multiplies the rate of one class for a time; class -1 means all of them.
type burst struct {
	from, length time.Duration
	class        int
	factor       float64
}

var hardBursts = []burst{
	{5 * time.Second, 5500 * time.Millisecond, 2, 2.25},
	{10500 * time.Millisecond, 3500 * time.Millisecond, 0, 1.7},
	{17 * time.Second, 3 * time.Second, -1, 1.7},
	{24 * time.Second, 5500 * time.Millisecond, 2, 2.5},
	{29500 * time.Millisecond, 3500 * time.Millisecond, 0, 1.9},
}

// hardOutage is the loss of power at the end, after which everybody comes back at once.
var hardOutage = outage{36 * time.Second, 2 * time.Second}

// classCount counts the callers of a class by how they were served.
type classCount struct{ inTime, late, refused int }

func (c classCount) all() int { return c.inTime + c.late + c.refused }

// classLoad is the state of a simulated load of several classes.
type classLoad struct {
	counts [3]classCount
	// again lists callers that ask again and when; backAt is when the outage ends.
	again  []returning
	backAt time.Time
}

type returning struct {
	at     time.Time
	caller caller
}

// refuse records a refusal. A caller honours Retry-After up to a third of the time that it has left, and asks again once.
func (l *classLoad) refuse(g *groupSimulation, c caller, err error) {
	var full *dispatch.OverloadedError
	left := c.request.Deadline.Sub(g.now)
	if !c.retried && errors.As(err, &full) && full.RetryAfter <= left/3 {
		l.again = append(l.again, returning{g.now.Add(full.RetryAfter), c})
		return
	}
	l.counts[c.request.Class].refused++
}

func (l *classLoad) finish(s *stream) {
	if s.late {
		l.counts[s.request.Class].late++
	} else {
		l.counts[s.request.Class].inTime++
	}
}

// abandon removes the requests of callers that have waited too long for the first event. They ask again once.
func (l *classLoad) abandon(g *groupSimulation) {
	leave := func(c caller) {
		if c.retried {
			l.counts[c.request.Class].refused++
			return
		}
		l.again = append(l.again, returning{g.now, c})
	}
	for _, gw := range g.gateways {
		for _, t := range gw.sortedWaiting() {
			if c := gw.waiting[t]; g.now.After(c.request.Deadline) {
				gw.pool.Cancel(t)
				delete(gw.waiting, t)
				leave(c)
			}
		}
	}
	for _, u := range g.order {
		var rest, gone []*stream
		for _, s := range g.at[u] {
			if s.promptLeft > 0 && g.now.After(s.request.Deadline) {
				gone = append(gone, s)
			} else {
				rest = append(rest, s)
			}
		}
		g.at[u] = rest
		for _, s := range gone {
			g.decide(s.gateway, s.gateway.pool.Done(s.ticket, dispatch.OutcomeNone, g.now))
			leave(s.caller)
		}
	}
}

// sortedWaiting returns the tickets of a gateway's waiting requests, oldest first.
func (gw *simulatedGateway) sortedWaiting() []*dispatch.Ticket {
	return slices.SortedFunc(maps.Keys(gw.waiting), func(a, b *dispatch.Ticket) int {
		return gw.waiting[a].request.Arrived.Compare(gw.waiting[b].request.Arrived)
	})
}

// loseAll ends all requests at the start of the outage, as all hosts lose power. Their callers ask again when it ends.
func (l *classLoad) loseAll(g *groupSimulation) {
	lost := g.toResend
	g.toResend = nil
	for _, gw := range g.gateways {
		for _, t := range gw.sortedWaiting() {
			gw.pool.Cancel(t)
			lost = append(lost, gw.waiting[t])
		}
		clear(gw.waiting)
	}
	for _, c := range lost {
		l.again = append(l.again, returning{l.backAt, c})
	}
}

// comeBack submits the requests of callers that ask again.
func (l *classLoad) comeBack(g *groupSimulation) {
	due := l.again
	l.again = nil
	for _, r := range due {
		if r.at.After(g.now) {
			l.again = append(l.again, r)
			continue
		}
		c := r.caller
		c.retried = true
		k := hardClasses[c.request.Class]
		c.request.Arrived, c.request.Target, c.request.Deadline = g.now, g.now.Add(k.target), g.now.Add(streamCallerTimeout)
		g.submit(c)
	}
}

// newClassSimulation returns the first deployment with a load of three classes.
func newClassSimulation(seed uint64, off ...dispatch.Mechanism) *groupSimulation {
	g := newGroupSimulation(seed, 44, 63, 10, workReportEvery, true, off...)
	disabled := dispatch.DisabledMechanisms{}
	for _, m := range off {
		disabled[m] = true
	}
	engine := &catalog.Engine{Slots: 10, Chunk: passChunk, Stride: hardStride, StepBase: hardStepBase, StepPerRequest: hardStepPerRequest, Experts: &catalog.Experts{Share: expertShare}}
	for _, gw := range g.gateways {
		gw.pool.SetOptions(dispatch.Options{
			Engine: engine, Fill: 1, LateFill: 0.6, Disabled: disabled, Classes: []int{0, 1, 2},
		})
	}
	g.classes = &classLoad{}
	return g
}

// classRate returns the rate of a class at a time since the start.
func classRate(priority int, since time.Duration) float64 {
	perSecond := hardClasses[priority].perSecond
	for _, b := range hardBursts {
		if since >= b.from && since < b.from+b.length && (b.class == priority || b.class < 0) {
			perSecond *= b.factor
		}
	}
	return perSecond
}

// expertShare is the fraction of the work of a request that experts do, which is spread over all ranks of the group.
const expertShare = 0.5

// hardPass returns the duration of a pass that starts now. The ranks wait for the one with the most requests.
func (g *groupSimulation) hardPass(since time.Duration) time.Duration {
	most, total := 0, 0
	for _, u := range g.order {
		running := min(g.slots, len(g.at[u]))
		most, total = max(most, running), total+running
	}
	skew := usualSkew
	if since > shiftEvery && since%shiftEvery < shiftTime {
		skew = shiftSkew
	}
	n := (1-expertShare)*float64(most) + expertShare*float64(total)/float64(len(g.order))
	return time.Duration(skew * float64(hardStride) * (float64(hardStepBase) + n*float64(hardStepPerRequest)))
}

// sortQueues sorts the queue of each rank by priority, as engines do.
func (g *groupSimulation) sortQueues() {
	for _, u := range g.order {
		if at := g.at[u]; len(at) > g.slots {
			slices.SortStableFunc(at[g.slots:], func(a, b *stream) int { return a.request.Class - b.request.Class })
		}
	}
}

// arriveClass submits a new request of a class.
func (g *groupSimulation) arriveClass(priority int) {
	due := g.now.Add(hardClasses[priority].target)
	c := caller{request: dispatch.Request{
		Arrived: g.now, Target: due, Deadline: g.now.Add(streamCallerTimeout), Class: priority, PromptTokens: g.prompt(),
	}, due: due}
	if g.closed {
		g.classes.again = append(g.classes.again, returning{g.classes.backAt, c})
		return
	}
	g.submit(c)
}

// runClasses simulates the load with its bursts and the outage.
func (g *groupSimulation) runClasses() {
	begin := g.now
	g.classes.backAt = begin.Add(hardOutage.from + hardOutage.length)
	next := make([]time.Time, len(hardClasses))
	for i := range next {
		next[i] = begin
	}
	for g.now.Before(begin.Add(hardTime)) {
		since := g.now.Sub(begin)
		if down := since >= hardOutage.from && since < hardOutage.from+hardOutage.length; down != g.closed {
			g.setClosed(down)
		}
		length := g.hardPass(since)
		var first []*stream
		if !g.closed {
			first, _ = g.prefill()
		}
		end := g.now.Add(length)
		g.arriveUntil(begin, end, next)
		g.now = end
		if !g.closed {
			g.finishPass(first, length)
		}
		g.sortQueues()
		g.classes.abandon(g)
		g.classes.comeBack(g)
		g.exchangeReports()
		for _, gw := range g.gateways {
			g.decide(gw, gw.pool.Tick(g.now))
		}
	}
}

// arriveUntil submits the arrivals of all classes before a time, in order.
func (g *groupSimulation) arriveUntil(begin, end time.Time, next []time.Time) {
	for {
		priority := 0
		for i := range next {
			if next[i].Before(next[priority]) {
				priority = i
			}
		}
		if !next[priority].Before(end) {
			return
		}
		g.now = next[priority]
		g.arriveClass(priority)
		perSecond := classRate(priority, g.now.Sub(begin))
		next[priority] = g.now.Add(time.Duration(g.rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// classResult is the result of several seeds.
type classResult struct {
	counts [3]classCount
	value  float64
}

const classSeeds = 2

func simulateClasses(t *testing.T, off ...dispatch.Mechanism) classResult {
	t.Helper()
	var r classResult
	var counts [classSeeds][3]classCount
	var wait sync.WaitGroup
	for seed := range uint64(classSeeds) {
		wait.Go(func() {
			g := newClassSimulation(seed, off...)
			g.runClasses()
			counts[seed] = g.classes.counts
		})
	}
	wait.Wait()
	for _, seed := range counts {
		for i, c := range seed {
			r.counts[i].inTime += c.inTime
			r.counts[i].late += c.late
			r.counts[i].refused += c.refused
		}
	}
	most := 0.0
	for i, c := range r.counts {
		k := hardClasses[i]
		r.value += k.onTime*float64(c.inTime) + k.late*float64(c.late)
		most += k.onTime * float64(c.all())
		t.Logf("off %v, class %d: %d in time, %d late, %d refused", off, i, c.inTime, c.late, c.refused)
	}
	r.value /= most
	t.Logf("off %v: value %.4f", off, r.value)
	return r
}

// Guards against a most urgent class that is served worst under overload, because its requests arrive when the slots are full of
// those of other classes.
func TestUrgentClassIsServedFirst(t *testing.T) {
	with := simulateClasses(t)
	without := simulateClasses(t, dispatch.Classes)
	if with.value <= without.value {
		t.Errorf("value %.4f, without the rules of classes %.4f", with.value, without.value)
	}
	for i := range with.counts[1:] {
		a, b := with.counts[i], with.counts[i+1]
		served := func(c classCount) float64 { return float64(c.inTime+c.late) / float64(c.all()) }
		inTime := func(c classCount) float64 { return float64(c.inTime) / float64(max(1, c.inTime+c.late)) }
		if served(a) < served(b)-0.05 || inTime(a) < inTime(b)-0.15 {
			t.Errorf("class %d: %.3f served, %.3f of them in time; class %d: %.3f, %.3f", i, served(a), inTime(a), i+1, served(b), inTime(b))
		}
	}
}

// Guards against rules of classes that change decisions of a service with one priority, or while `classes` is disabled.
func TestWithoutClassesDecidesAsBefore(t *testing.T) {
	run := func(list []int, off ...dispatch.Mechanism) [3]classCount {
		g := newClassSimulation(5, off...)
		for _, gw := range g.gateways {
			gw.pool.SetOptions(dispatch.Options{
				Engine: &catalog.Engine{Chunk: passChunk, Stride: hardStride}, Fill: 1, LateFill: 0.6,
				Disabled: dispatch.DisabledMechanisms{dispatch.Classes: len(off) > 0}, Classes: list,
			})
		}
		g.runClasses()
		return g.classes.counts
	}
	before := run(nil)
	if got := run([]int{0}); got != before {
		t.Errorf("with one class %+v, without classes %+v", got, before)
	}
	if got := run([]int{0, 1, 2}, dispatch.Classes); got != before {
		t.Errorf("disabled %+v, without classes %+v", got, before)
	}
}
