package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/eventqueue"
)

// simulation simulates a load on a pool. Upstreams serve every request in the same time, within their slots, and callers
// time out after callerTimeout. It runs on a virtual clock.
type simulation struct {
	*eventqueue.Queue
	pool    *dispatch.Pool
	service time.Duration
	// onTime, late, refused and timedOut count requests by how they ended; retryAfter collects the Retry-After of
	// refusals.
	onTime, late, refused, timedOut int
	retryAfter                      []time.Duration
	waiting                         map[*dispatch.Ticket]dispatch.Request
}

func upstreams(n, slots int) []*catalog.Upstream {
	var out []*catalog.Upstream
	for i := range n {
		id := ids.Upstream(fmt.Sprintf("u-%02d", i))
		out = append(out, &catalog.Upstream{ID: id, Service: "s", Slots: slots, State: catalog.StateReady})
	}
	return out
}

func newSimulation(o dispatch.Options, n, slots int, service time.Duration) *simulation {
	r := &simulation{
		pool: dispatch.NewPool(o, rand.New(rand.NewPCG(1, 2))), Queue: eventqueue.New(time.Unix(0, 0)), service: service,
		waiting: map[*dispatch.Ticket]dispatch.Request{},
	}
	r.decide(r.pool.SetUpstreams(upstreams(n, slots), r.Now()))
	return r
}

// at schedules run at a time, followed by a tick of the pool.
func (r *simulation) at(t time.Time, run func()) {
	r.In(t.Sub(r.Now()), func() {
		run()
		r.decide(r.pool.Tick(r.Now()))
	})
}

func (r *simulation) submit(q dispatch.Request) {
	t := r.pool.Submit(q, r.Now())
	r.waiting[t] = q
	if t.Upstream() != nil || t.Err() != nil {
		r.decide([]*dispatch.Ticket{t})
	}
}

func (r *simulation) decide(list []*dispatch.Ticket) {
	for _, t := range list {
		q := r.waiting[t]
		delete(r.waiting, t)
		if t.Err() != nil {
			r.refused++
			if e, ok := t.Err().(*dispatch.OverloadedError); ok {
				r.retryAfter = append(r.retryAfter, e.RetryAfter)
			}
			continue
		}
		r.at(r.Now().Add(r.service), func() { r.finish(t, q) })
	}
}

func (r *simulation) finish(t *dispatch.Ticket, q dispatch.Request) {
	switch {
	case r.Now().After(q.Deadline):
		r.timedOut++
	case r.Now().After(q.Target):
		r.late++
	default:
		r.onTime++
	}
	r.pool.Responded(t, r.Now())
	r.decide(r.pool.Done(t, dispatch.OutcomeOK, r.Now()))
}

// arrivals schedules requests at a rate for a while; shape builds the request for an arrival time.
func (r *simulation) arrivals(from time.Time, length time.Duration, perSecond float64, shape func(arrived time.Time) dispatch.Request) {
	rng := rand.New(rand.NewPCG(3, 4))
	for at := from; at.Before(from.Add(length)); at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
		r.at(at, func() { r.submit(shape(at)) })
	}
}

const (
	targetLatency = 300 * time.Millisecond
	callerTimeout = 1500 * time.Millisecond
)

func timedRequest(arrived time.Time) dispatch.Request {
	return dispatch.Request{Arrived: arrived, Target: arrived.Add(targetLatency), Deadline: arrived.Add(callerTimeout)}
}

// Guards against a burst that makes most requests late. For four seconds, twice the load arrives that the upstreams can
// serve. Served in order of arrival, all requests of the burst and of the seconds after it are late; if requests that
// can still meet their target go first, most of the capacity serves requests on time.
func TestBurstIsMostlyServedOnTime(t *testing.T) {
	const capacity = 4 * 6 / 0.06 // requests per second of 4 upstreams with 6 slots and 60 ms each
	run := func(fill, late float64, byArrival bool) *simulation {
		r := newSimulation(dispatch.Options{Fill: fill, LateFill: late}, 4, 6, 60*time.Millisecond)
		shape := timedRequest
		if byArrival {
			// With a target that has already passed, the pool serves in order of arrival.
			shape = func(arrived time.Time) dispatch.Request {
				q := timedRequest(arrived)
				q.Target = arrived
				return q
			}
		}
		begin := r.Now()
		r.arrivals(begin, 3*time.Second, 0.7*capacity, shape)
		r.arrivals(begin.Add(3*time.Second), 4*time.Second, 2*capacity, shape)
		r.arrivals(begin.Add(7*time.Second), 3*time.Second, 0.7*capacity, shape)
		r.RunAll()
		return r
	}
	ours := run(1, 0.6, false)
	baseline := run(1, 1, true)
	// The baseline's requests have no usable target, so their counts show only how many were answered, refused or timed
	// out.
	t.Logf("ours: %d in time, %d late, %d refused, %d timed out", ours.onTime, ours.late, ours.refused, ours.timedOut)
	t.Logf("by arrival: %d answered, %d refused, %d timed out", baseline.late+baseline.onTime, baseline.refused, baseline.timedOut)
	possible := int(10 * capacity * 0.8)
	if ours.onTime < possible*9/10 {
		t.Fatalf("%d in time, want nine tenths of the possible %d", ours.onTime, possible)
	}
	if ours.timedOut > 0 {
		t.Fatalf("%d were served for callers that had timed out", ours.timedOut)
	}
}

// Guards against requests that are lost, or delay later ones, while a group of ranks is broken for two seconds. They
// must wait at the gateway, because each one sent would be refused, and are served once the group works again.
func TestRequestsWaitForABrokenGroup(t *testing.T) {
	r := newSimulation(dispatch.Options{Fill: 1, LateFill: 0.6}, 4, 10, 100*time.Millisecond)
	begin := r.Now()
	withLongTimeout := func(arrived time.Time) dispatch.Request {
		return dispatch.Request{Arrived: arrived, Target: arrived.Add(400 * time.Millisecond), Deadline: arrived.Add(4 * time.Second)}
	}
	r.arrivals(begin, 8*time.Second, 150, withLongTimeout)
	r.at(begin.Add(2*time.Second), func() { r.decide(r.pool.SetClosed(true, r.Now())) })
	r.at(begin.Add(4*time.Second), func() { r.decide(r.pool.SetClosed(false, r.Now())) })
	r.RunAll()
	if r.refused > 0 || r.timedOut > 0 {
		t.Fatalf("%d refused and %d timed out although the group was back soon", r.refused, r.timedOut)
	}
	// Requests that arrived during the two seconds of the outage, and a few after it, are late; all others are on time.
	if most := 150 * 2 * 13 / 10; r.late > most {
		t.Fatalf("%d late, want %d at most", r.late, most)
	}
}

// Guards against refused callers that all retry at the same time: at a lasting load of twice the capacity, refusals
// must have different Retry-After times.
func TestRefusedCallersRetryAtDifferentTimes(t *testing.T) {
	r := newSimulation(dispatch.Options{Fill: 1, LateFill: 0.6}, 2, 4, 80*time.Millisecond)
	r.arrivals(r.Now(), 6*time.Second, 200, timedRequest)
	r.RunAll()
	if r.refused == 0 {
		t.Fatal("no request was refused at twice the load")
	}
	retries := map[time.Duration]int{}
	for _, d := range r.retryAfter {
		if d <= 0 {
			t.Fatal("a refusal has no Retry-After")
		}
		retries[d.Truncate(20*time.Millisecond)]++
	}
	for d, n := range retries {
		if n > len(r.retryAfter)/4 {
			t.Fatalf("%d of %d refusals have a Retry-After of about %s", n, len(r.retryAfter), d)
		}
	}
}
