package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

func classedPool(classes ...int) *Pool {
	engine := &catalog.Engine{Slots: 10, Stride: 7, StepBase: 4840 * time.Microsecond, StepPerRequest: 435 * time.Microsecond}
	return NewPool(Options{Engine: engine, Fill: 1, LateFill: 0.6, Classes: classes}, rand.New(rand.NewPCG(1, 2)))
}

// Guards against a pool of one class that decides by the rules of several.
func TestOneClassHasNoRules(t *testing.T) {
	now := time.Unix(10, 0)
	for _, classes := range [][]int{nil, {3}} {
		p := classedPool(classes...)
		p.recordArrival(Request{}, now)
		if p.reserved(Request{Class: 3}, now) || len(p.classes.arrivals) > 0 {
			t.Fatalf("classes %v: the rules of several classes apply", classes)
		}
	}
}

// Guards against the last free slots going to the least urgent class while the most urgent one is expected to need them.
func TestLastSlotsAreReserved(t *testing.T) {
	now := time.Unix(10, 0)
	p := classedPool(0, 1)
	p.SetSharing(Sharing{Gateways: 10, Interval: 300 * time.Millisecond})
	p.SetUpstreams([]*catalog.Upstream{{ID: "u", Service: "s", Slots: 10, State: catalog.StateReady}}, now)
	p.order[0].others.Requests = 9
	r := Request{Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Class: 1}
	if p.reserved(r, now) {
		t.Fatal("a slot is reserved although no more urgent request has arrived")
	}
	for range 4 {
		p.recordArrival(Request{}, now)
	}
	if urgent := (Request{Arrived: now, Target: r.Target}); !p.reserved(r, now) || p.reserved(urgent, now) {
		t.Fatal("the last slot is not reserved for the most urgent class")
	}
}

// Guards against late requests of an urgent class that make requests of other classes late.
func TestInTimeGoesBeforeLateAcrossClasses(t *testing.T) {
	now := time.Unix(10, 0)
	p := classedPool(0, 1)
	late := Request{Arrived: now.Add(-time.Second), Target: now.Add(-time.Millisecond)}
	inTime := Request{Arrived: now, Target: now.Add(time.Second), Class: 1}
	urgent := Request{Arrived: now, Target: now.Add(time.Second)}
	if p.compareByClass(late, inTime, now) <= 0 || p.compareByClass(urgent, inTime, now) >= 0 {
		t.Fatal("want in time before late, then by class")
	}
}

// Guards against classes that have no effect because all requests have their account's priority, and against an account that
// loses its precedence to a class.
func TestClassesOrderRequestsOfOnePriority(t *testing.T) {
	now := time.Unix(10, 0)
	p := classedPool(0, 1)
	request := func(priority, class int) Request {
		return Request{Arrived: now, Target: now.Add(time.Second), Priority: priority, Class: class}
	}
	if p.compareByClass(request(1, 0), request(1, 2), now) >= 0 || p.compareByClass(request(0, 2), request(1, 0), now) >= 0 {
		t.Fatal("want the order by the account's priority, then by class")
	}
}

// Guards against a request that waits until its time is over although requests that went ahead of it leave it no time, and against
// callers of all classes that come back together.
func TestRequestsWithoutTimeAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(10, 0)
	p := classedPool(0, 1)
	p.SetUpstreams([]*catalog.Upstream{{ID: "u", Service: "s", Slots: 1, State: catalog.StateReady}}, now)
	request := func(priority int) Request {
		return Request{Arrived: now, Target: now.Add(400 * time.Millisecond), Deadline: now.Add(2 * time.Second), Class: priority}
	}
	for range 4 {
		first := p.Submit(request(0), now)
		p.Responded(first, now.Add(200*time.Millisecond))
		now = now.Add(250 * time.Millisecond)
		p.Done(first, OutcomeOK, now)
	}
	p.Submit(request(0), now)
	behind := p.Submit(request(1), now)
	if behind.Err() != nil || len(p.Shed(now)) > 0 {
		t.Fatal("refused although there is time")
	}
	for range 4 {
		if ahead := p.Submit(request(0), now); ahead.Err() != nil {
			t.Fatalf("an urgent request is refused: %v", ahead.Err())
		}
	}
	shed := p.Shed(now)
	if len(shed) != 1 || shed[0] != behind || p.Waiting() != 4 {
		t.Fatalf("%d requests refused, want the one that has no time left", len(shed))
	}
	for range 100 {
		if p.classRetry(request(1), 0) <= p.classRetry(request(0), 0) {
			t.Fatal("the less urgent class is to come back sooner")
		}
	}
}

// Guards against an urgent request that is refused because of less urgent ones that wait for cold upstreams, although it goes
// ahead of them.
func TestUrgentRequestGoesAheadAtColdUpstreams(t *testing.T) {
	now := time.Unix(10, 0)
	p := classedPool(0, 1)
	u := &catalog.Upstream{ID: "u", Service: "s", Slots: 10, State: catalog.StateReady}
	p.SetUpstreams([]*catalog.Upstream{u}, now)
	p.SetCold(ColdAllowances{
		Upstreams:  map[ids.UpstreamIncarnation]ColdAllowance{u.Incarnation(): {Limit: 20, PerSecond: 20, Burst: 1}},
		ValidUntil: now.Add(time.Hour),
	}, now)
	submit := func(class int, target time.Duration) *Ticket {
		return p.Submit(Request{Arrived: now, Target: now.Add(target), Deadline: now.Add(4 * time.Second), Class: class}, now)
	}
	for i := range 6 {
		if ticket := submit(1, time.Second); ticket.Err() != nil {
			t.Fatalf("less urgent request %d is refused: %v", i, ticket.Err())
		}
	}
	urgent := submit(0, 200*time.Millisecond)
	if urgent.Err() != nil {
		t.Fatalf("refused: %v", urgent.Err())
	}
	if p.Tick(now.Add(60 * time.Millisecond)); urgent.Upstream() == nil {
		t.Fatal("not placed first")
	}
}
