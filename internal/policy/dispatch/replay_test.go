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

// replay plays a load against a pool: upstreams serve each request in the same time as long as they have slots, and
// callers leave when they have waited for too long. Time is a variable.
type replay struct {
	*eventqueue.Queue
	pool    *dispatch.Pool
	service time.Duration
	// onTime, late, refused and left count requests by their end; retryAfter collects what refused callers were told.
	onTime, late, refused, left int
	retryAfter                  []time.Duration
	waiting                     map[*dispatch.Ticket]dispatch.Request
}

func upstreams(n, slots int) []*catalog.Upstream {
	var out []*catalog.Upstream
	for i := range n {
		id := ids.Upstream(fmt.Sprintf("u-%02d", i))
		out = append(out, &catalog.Upstream{ID: id, Service: "s", Slots: slots, State: catalog.StateReady})
	}
	return out
}

func newReplay(o dispatch.Options, n, slots int, service time.Duration) *replay {
	r := &replay{
		pool: dispatch.NewPool(o, rand.New(rand.NewPCG(1, 2))), Queue: eventqueue.New(time.Unix(0, 0)), service: service,
		waiting: map[*dispatch.Ticket]dispatch.Request{},
	}
	r.decide(r.pool.SetUpstreams(upstreams(n, slots), r.Now()))
	return r
}

// at plans what happens at a time, with a tick of the pool after it.
func (r *replay) at(t time.Time, run func()) {
	r.In(t.Sub(r.Now()), func() {
		run()
		r.decide(r.pool.Tick(r.Now()))
	})
}

func (r *replay) submit(q dispatch.Request) {
	t := r.pool.Submit(q, r.Now())
	r.waiting[t] = q
	if t.Upstream() != nil || t.Err() != nil {
		r.decide([]*dispatch.Ticket{t})
	}
}

func (r *replay) decide(list []*dispatch.Ticket) {
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

func (r *replay) finish(t *dispatch.Ticket, q dispatch.Request) {
	switch {
	case r.Now().After(q.Latest):
		r.left++
	case r.Now().After(q.Aim):
		r.late++
	default:
		r.onTime++
	}
	r.pool.Answered(t, r.Now())
	r.decide(r.pool.Done(t, dispatch.OutcomeOK, r.Now()))
}

// arrivals offers requests at a rate for a while; aim is what the pool is told of the target.
func (r *replay) arrivals(from time.Time, length time.Duration, perSecond float64, shape func(arrived time.Time) dispatch.Request) {
	rng := rand.New(rand.NewPCG(3, 4))
	for at := from; at.Before(from.Add(length)); at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
		r.at(at, func() { r.submit(shape(at)) })
	}
}

const (
	target   = 300 * time.Millisecond
	patience = 1500 * time.Millisecond
)

func timed(arrived time.Time) dispatch.Request {
	return dispatch.Request{Arrived: arrived, Aim: arrived.Add(target), Latest: arrived.Add(patience)}
}

// A burst brings twice what the upstreams can serve, for four seconds, and load is usual before and after. In order of
// arrival all requests of the burst and of the seconds after it are late. With those first that still can be in time,
// most of what the upstreams can serve is served in time.
func TestABurstLeavesMostInTime(t *testing.T) {
	const capacity = 4 * 6 / 0.06 // requests a second of 4 upstreams with 6 slots and 60 ms each
	play := func(fill, late float64, inOrder bool) *replay {
		r := newReplay(dispatch.Options{Fill: fill, LateFill: late}, 4, 6, 60*time.Millisecond)
		shape := timed
		if inOrder {
			// Without a target the pool serves in order of arrival.
			shape = func(arrived time.Time) dispatch.Request {
				q := timed(arrived)
				q.Aim = arrived
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
	ours := play(1, 0.6, false)
	baseline := play(1, 1, true)
	// The baseline's requests carry no target, so those in time are counted by the wait that is left to it.
	t.Logf("ours: %d in time, %d late, %d refused, %d left", ours.onTime, ours.late, ours.refused, ours.left)
	t.Logf("in order: %d answered, %d refused, %d left", baseline.late+baseline.onTime, baseline.refused, baseline.left)
	possible := int(10 * capacity * 0.8)
	if ours.onTime < possible*9/10 {
		t.Fatalf("%d in time of about %d that could be", ours.onTime, possible)
	}
	if ours.left > 0 {
		t.Fatalf("%d were served for callers that had left", ours.left)
	}
}

// A group of ranks is broken for two seconds. Requests wait at the gateway, as each that was sent would be refused and
// come back; when it works again they are served, and what arrives after it is not held up behind them.
func TestRequestsWaitForABrokenGroup(t *testing.T) {
	r := newReplay(dispatch.Options{Fill: 1, LateFill: 0.6}, 4, 10, 100*time.Millisecond)
	begin := r.Now()
	patient := func(arrived time.Time) dispatch.Request {
		return dispatch.Request{Arrived: arrived, Aim: arrived.Add(400 * time.Millisecond), Latest: arrived.Add(4 * time.Second)}
	}
	r.arrivals(begin, 8*time.Second, 150, patient)
	r.at(begin.Add(2*time.Second), func() { r.decide(r.pool.SetClosed(true, r.Now())) })
	r.at(begin.Add(4*time.Second), func() { r.decide(r.pool.SetClosed(false, r.Now())) })
	r.RunAll()
	if r.refused > 0 || r.left > 0 {
		t.Fatalf("%d refused and %d left of a group that was back soon", r.refused, r.left)
	}
	// What arrived in the two seconds, and a few after it, is late; all else is in time.
	if most := 150 * 2 * 13 / 10; r.late > most {
		t.Fatalf("%d late, want %d at most", r.late, most)
	}
}

// Load stays at twice of what can be served. Callers who cannot be served are told at once, and to come back at unlike
// times, so that they do not collide.
func TestRefusedCallersComeBackApart(t *testing.T) {
	r := newReplay(dispatch.Options{Fill: 1, LateFill: 0.6}, 2, 4, 80*time.Millisecond)
	r.arrivals(r.Now(), 6*time.Second, 200, timed)
	r.RunAll()
	if r.refused == 0 {
		t.Fatal("nobody was refused at twice the load")
	}
	told := map[time.Duration]int{}
	for _, d := range r.retryAfter {
		if d <= 0 {
			t.Fatal("a refusal does not say when to come back")
		}
		told[d.Truncate(20*time.Millisecond)]++
	}
	for d, n := range told {
		if n > len(r.retryAfter)/4 {
			t.Fatalf("%d of %d are told to come back after %s", n, len(r.retryAfter), d)
		}
	}
}
