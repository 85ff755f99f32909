package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
)

const (
	quotes  = "quotes"
	letters = "letters"
	run     = 100 * time.Millisecond
	tokens  = 100.0
)

var begin = time.Unix(1000, 0)

func options() admission.Options {
	return admission.Options{Classes: []admission.Class{{Name: letters, Rank: 1, QueueLimit: 50}, {Name: quotes, Rank: 0, QueueLimit: 50}}}
}

// engine drives a queue as an entry does: each started request ends after its run.
type engine struct {
	queue    *admission.Queue
	now      time.Time
	next     uint64
	running  map[uint64]time.Time
	started  []admission.Request
	refused  map[uint64]error
	refusedN int
}

func newEngine(opts admission.Options, places int) *engine {
	rate := float64(places) * tokens / run.Seconds()
	return &engine{
		queue: admission.NewQueue(opts, admission.Capacity{Places: places, TokensPerSecond: rate}),
		now:   begin, running: make(map[uint64]time.Time), refused: make(map[uint64]error),
	}
}

func (e *engine) submit(client ids.Client, class string, deadline time.Duration) uint64 {
	e.next++
	e.take(e.queue.Submit(admission.Request{
		ID: e.next, Client: client, Class: class, Tokens: tokens, Run: run, Deadline: e.now.Add(deadline),
	}, e.now))
	return e.next
}

func (e *engine) take(outcomes []admission.Outcome) {
	for _, o := range outcomes {
		if o.Err != nil {
			e.refused[o.Request.ID] = o.Err
			e.refusedN++
			continue
		}
		e.started = append(e.started, o.Request)
		e.running[o.Request.ID] = e.now.Add(run)
	}
}

// pass lets time pass in steps of 10 ms.
func (e *engine) pass(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := e.now.Add(d); e.now.Before(end); {
		e.now = e.now.Add(step)
		for id := uint64(1); id <= e.next; id++ {
			if at, ok := e.running[id]; ok && !at.After(e.now) {
				delete(e.running, id)
				e.take(e.queue.Done(id, tokens, e.now))
			}
		}
		e.take(e.queue.Tick(e.now))
	}
}

func code(err error) failure.Code {
	if err == nil {
		return ""
	}
	return failure.CodeOf(err)
}

func TestTheFirstClassGoesFirst(t *testing.T) {
	e := newEngine(options(), 1)
	for range 3 {
		e.submit("a", letters, time.Minute)
	}
	for range 2 {
		e.submit("a", quotes, time.Minute)
	}
	e.pass(time.Second)
	var order []string
	for _, r := range e.started {
		order = append(order, r.Class)
	}
	if diff := cmp.Diff([]string{letters, quotes, quotes, letters, letters}, order); diff != "" {
		t.Fatal(diff)
	}
}

func TestTheReserveIsForTheFirstClass(t *testing.T) {
	opts := options()
	opts.Reserve = 0.25
	e := newEngine(opts, 8)
	e.submit("a", quotes, time.Minute)
	e.pass(2 * run)
	e.started = nil
	for range 10 {
		e.submit("a", letters, time.Minute)
	}
	if len(e.started) != 6 {
		t.Fatalf("%d letters started in 8 places with a quarter reserved", len(e.started))
	}
	e.submit("a", quotes, time.Minute)
	if got := e.started[len(e.started)-1].Class; got != quotes {
		t.Fatalf("a quote waits although places are reserved for it")
	}
}

// A service whose requests are all of a lower class must not lose places to a class that never comes.
func TestNothingIsReservedForAClassThatNobodyAsksFor(t *testing.T) {
	opts := options()
	opts.Reserve = 0.25
	e := newEngine(opts, 8)
	for range 10 {
		e.submit("a", letters, time.Minute)
	}
	if len(e.started) != 8 {
		t.Fatalf("%d letters started in 8 places", len(e.started))
	}
}

// An account is removed while its requests wait; its weight is then 0, and dividing by it would stop the whole class.
func TestAClientWithoutAShareDoesNotStopTheOthers(t *testing.T) {
	opts := options()
	opts.Share = func(c ids.Client) float64 { return map[ids.Client]float64{"a": 1}[c] }
	e := newEngine(opts, 1)
	for range 5 {
		e.submit("removed", letters, time.Minute)
		e.submit("a", letters, time.Minute)
	}
	e.pass(11 * run)
	if len(e.started) != 10 {
		t.Fatalf("%d of 10 started", len(e.started))
	}
}

func TestRefusalsComeAtOnceAndSayWhen(t *testing.T) {
	tests := map[string]struct {
		change   func(*admission.Options)
		waiting  int
		deadline time.Duration
		want     failure.Code
		after    time.Duration
	}{
		"place free":                             {nil, 0, time.Minute, "", 0},
		"waits":                                  {nil, 5, time.Minute, "", 0},
		"deadline before the run":                {nil, 0, run / 2, failure.CodeDeadlineUnmet, 0},
		"deadline before its turn":               {nil, 40, 2 * time.Second, failure.CodeDeadlineUnmet, 3 * time.Second},
		"queue full":                             {nil, 50, time.Minute, failure.CodeOverloaded, 5 * time.Second},
		"wait longer than it may be":             {func(o *admission.Options) { o.MaxWait = time.Second }, 15, time.Minute, failure.CodeOverloaded, time.Second},
		"wait as long as it may be":              {func(o *admission.Options) { o.MaxWait = time.Second }, 10, time.Minute, "", 0},
		"class that is not in the configuration": {func(o *admission.Options) { o.Classes = o.Classes[:1] }, 0, time.Minute, failure.CodeInternal, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			opts := options()
			if tc.change != nil {
				tc.change(&opts)
			}
			e := newEngine(opts, 1)
			if tc.waiting > 0 {
				e.submit("a", quotes, time.Hour)
			}
			for range tc.waiting {
				e.submit("a", quotes, time.Hour)
			}
			err := e.refused[e.submit("a", quotes, tc.deadline)]
			if code(err) != tc.want {
				t.Fatalf("got %v, want %q", err, tc.want)
			}
			if err == nil || tc.want == failure.CodeInternal {
				return
			}
			f := failure.From(err)
			if f.RetryAfter != tc.after || f.Proof != failure.ProofNeverSent {
				t.Fatalf("retry after %v with proof %q, want %v", f.RetryAfter, f.Proof, tc.after)
			}
		})
	}
}

// The caller's request waits and would just make its deadline. Then the pool loses half of its places. The request
// can no longer be done in time; the caller is told now, seconds before the deadline, and can turn elsewhere.
func TestAWaitingRequestIsRefusedAsSoonAsItIsHopeless(t *testing.T) {
	e := newEngine(options(), 2)
	for range 40 {
		e.submit("a", letters, time.Minute)
	}
	last := e.submit("a", letters, 3*time.Second)
	if err := e.refused[last]; err != nil {
		t.Fatalf("refused too early: %v", err)
	}
	e.queue.SetCapacity(admission.Capacity{Places: 1, TokensPerSecond: tokens / run.Seconds()})
	e.pass(10 * time.Millisecond)
	if code(e.refused[last]) != failure.CodeDeadlineUnmet {
		t.Fatalf("got %v", e.refused[last])
	}
}

// Quotes take half of the pool. A caller with many letters and a near deadline must be told at once which of them
// cannot be done in the other half, instead of finding out one by one.
func TestTheWorkOfClassesAheadCounts(t *testing.T) {
	e := newEngine(options(), 1)
	for range 25 {
		e.submit("a", quotes, time.Minute)
		e.pass(2 * run)
	}
	refused := 0
	for range 11 {
		refused += map[bool]int{true: 1}[e.refused[e.submit("b", letters, 12*run)] != nil]
	}
	if refused < 4 || refused > 6 {
		t.Fatalf("%d of 11 letters were refused; about 6 of them can be done before their deadline", refused)
	}
}

// One client floods, two others ask for less than their share or for just as much. What the flood takes must not be
// theirs.
func TestAFloodTakesOnlyItsShare(t *testing.T) {
	opts := options()
	opts.Share = func(c ids.Client) float64 { return map[ids.Client]float64{"double": 2}[c] + 1 }
	e := newEngine(opts, 2)
	served := func() map[ids.Client]int {
		n := make(map[ids.Client]int)
		for _, r := range e.started {
			n[r.Client]++
		}
		return n
	}
	for i := range 400 {
		for range 4 {
			e.submit("flood", letters, time.Minute)
		}
		e.submit("double", letters, time.Minute)
		if i%10 == 0 {
			e.submit("modest", letters, time.Minute)
		}
		e.pass(50 * time.Millisecond)
	}
	got := served()
	if got["modest"] < 39 {
		t.Errorf("modest asked for 40 and got %d", got["modest"])
	}
	if per := float64(got["double"]) / float64(got["flood"]); per < 2.7 || per > 3.3 {
		t.Errorf("shares are 3 to 1, served was %d to %d", got["double"], got["flood"])
	}
}

func TestWorkEstimatedWronglyIsSettled(t *testing.T) {
	e := newEngine(options(), 1)
	for range 20 {
		e.submit("long", letters, time.Minute)
		e.submit("short", letters, time.Minute)
	}
	for range 20 {
		id := e.started[len(e.started)-1].ID
		used := tokens
		if e.started[len(e.started)-1].Client == "long" {
			used = 3 * tokens
		}
		e.take(e.queue.Done(id, used, e.now))
	}
	n := make(map[ids.Client]int)
	for _, r := range e.started {
		n[r.Client]++
	}
	if n["short"] < 14 || n["long"] > 7 {
		t.Fatalf("answers three times as long as estimated, served %v", n)
	}
}

// However requests come, end and are cancelled: each gets exactly one outcome, the places are never overdrawn, and
// nothing waits while a place is free.
func TestEveryRequestGetsOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const places = 3
		e := newEngine(options(), places)
		cancelled := make(map[uint64]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				client := ids.Client(fmt.Sprintf("c%d", rapid.IntRange(0, 3).Draw(t, "client")))
				deadline := time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond
				e.submit(client, rapid.SampledFrom([]string{quotes, letters}).Draw(t, "class"), deadline)
			case 2:
				e.pass(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			case 3:
				if e.next > 0 {
					id := rapid.Uint64Range(1, e.next).Draw(t, "cancel")
					if e.queue.Cancel(id) {
						cancelled[id] = true
					}
				}
			}
			if n := e.queue.Started(); n > places {
				t.Fatalf("%d started in %d places", n, places)
			}
			if e.queue.Waiting() > 0 && e.queue.Started() < places {
				t.Fatalf("%d wait while %d of %d places are taken", e.queue.Waiting(), e.queue.Started(), places)
			}
		}
		e.pass(10 * time.Second)
		outcomes := make(map[uint64]int)
		for _, r := range e.started {
			outcomes[r.ID]++
		}
		for id := range e.refused {
			outcomes[id]++
		}
		for id := range cancelled {
			outcomes[id]++
		}
		for id := uint64(1); id <= e.next; id++ {
			if outcomes[id] != 1 {
				t.Fatalf("request %d got %d outcomes", id, outcomes[id])
			}
		}
	})
}

func BenchmarkSubmitAndDone(b *testing.B) {
	for _, waiting := range []int{0, 40, 400} {
		b.Run(fmt.Sprintf("%d-clients-waiting", waiting), func(b *testing.B) {
			opts := options()
			opts.Classes[0].QueueLimit = 1 << 20
			q := admission.NewQueue(opts, admission.Capacity{Places: 10, TokensPerSecond: 1e6})
			req := admission.Request{Class: letters, Tokens: tokens, Run: run, Deadline: begin.Add(time.Hour)}
			for i := range waiting + 10 {
				req.ID, req.Client = uint64(i+1), ids.Client(fmt.Sprintf("c%d", i))
				q.Submit(req, begin)
			}
			next, oldest := uint64(waiting+10), uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				next++
				req.ID, req.Client = next, ids.Client(fmt.Sprintf("c%d", next%uint64(waiting+10)))
				q.Submit(req, begin)
				oldest++
				q.Done(oldest, tokens, begin)
			}
		})
	}
}
