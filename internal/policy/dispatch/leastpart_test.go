package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	urgent, other = 0, 1
	callerTimeout = 2 * time.Second
)

// classRun is one pool under a load of two classes, on a virtual clock.
type classRun struct {
	pool *Pool
	now  time.Time
	// running holds the tickets in flight by the time at which they end.
	running map[*Ticket]time.Time
	starts  [2]int
	// lastOther is when a request of the less urgent class was last started, and longestGap the longest time between two starts.
	lastOther  time.Time
	longestGap time.Duration
}

func newClassRun(leastPart float64) *classRun {
	o := Options{Engine: &catalog.Engine{Slots: 20}, Fill: 1, LateFill: 0.6, Classes: []int{urgent, other}, LeastPart: leastPart}
	r := &classRun{pool: NewPool(o, rand.New(rand.NewPCG(1, 2))), now: time.Unix(10, 0), running: map[*Ticket]time.Time{}}
	r.lastOther = r.now
	r.pool.SetUpstreams([]*catalog.Upstream{{ID: "u", Service: "s", Slots: 20, State: catalog.StateReady}}, r.now)
	return r
}

func (r *classRun) started(list ...*Ticket) {
	for _, t := range list {
		if t.state != placed {
			continue
		}
		r.running[t] = r.now.Add(100 * time.Millisecond)
		r.starts[t.request.Class]++
		if t.request.Class == other {
			r.longestGap = max(r.longestGap, r.now.Sub(r.lastOther))
			r.lastOther = r.now
		}
	}
}

func (r *classRun) arrive(class int) {
	t := r.pool.Submit(Request{Arrived: r.now, Target: r.now.Add(400 * time.Millisecond), Deadline: r.now.Add(callerTimeout), Class: class}, r.now)
	r.started(t)
	r.started(r.pool.Shed(r.now)...)
}

// run submits more urgent requests than fit, and some others, each 5 ms.
func (r *classRun) run(length time.Duration) {
	for step := 0; length > 0; step++ {
		r.now, length = r.now.Add(5*time.Millisecond), length-5*time.Millisecond
		for t, end := range r.running {
			if !r.now.Before(end) {
				delete(r.running, t)
				r.pool.Responded(t, r.now)
				r.started(r.pool.Done(t, OutcomeOK, r.now)...)
			}
		}
		r.arrive(urgent)
		r.arrive(urgent)
		if step%10 == 0 {
			r.arrive(other)
		}
	}
}

// Guards against a class that gets nothing for as long as more urgent requests fill all slots.
func TestLeastPartIsKeptUnderOverload(t *testing.T) {
	const part = 0.08
	r := newClassRun(part)
	r.run(20 * time.Second)
	all := r.starts[urgent] + r.starts[other]
	t.Logf("%v starts by class, longest gap %s", r.starts, r.longestGap)
	if got := float64(r.starts[other]) / float64(all); got < 0.9*part || got > 1.5*part {
		t.Errorf("%.3f of the starts, want about %.3f", got, part)
	}
	if r.longestGap > callerTimeout {
		t.Errorf("no start for %s", r.longestGap)
	}
	if all < 3800 {
		t.Errorf("%d starts in 20 s, of about 4,000 that fit", all)
	}
}

// Guards against a least part that applies although it is not set, or is disabled.
func TestWithoutLeastPartOrderIsStrict(t *testing.T) {
	for name, r := range map[string]*classRun{"not set": newClassRun(0), "disabled": newClassRun(0.08)} {
		r.pool.opts.Disabled = DisabledMechanisms{LeastPart: name == "disabled"}
		r.run(5 * time.Second)
		if r.starts[other] > r.starts[urgent]/100 {
			t.Errorf("%s: %v starts by class", name, r.starts)
		}
	}
}

// Guards against a class that saves up its part while it asks for nothing, and then takes many slots at once.
func TestLeastPartIsNotSavedUp(t *testing.T) {
	r := newClassRun(0.25)
	r.arrive(other)
	for range 100 {
		r.pool.recordClassStart(urgent, r.now)
	}
	if c := r.pool.classes.credits[other]; c > maxPartCredit {
		t.Errorf("credit %v", c)
	}
	r.pool.recordClassStart(urgent, r.now.Add(2*classRateWindow))
	if c := r.pool.classes.credits[other]; c != 0 {
		t.Errorf("credit %v of a class without requests", c)
	}
}
