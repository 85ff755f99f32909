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
	// quotes is the first class, letters the second.
	quotes  = "quotes"
	letters = "letters"
	run     = 100 * time.Millisecond
	tokens  = 100.0
)

var begin = time.Unix(1000, 0)

func options() admission.Options {
	return admission.Options{Classes: []admission.Class{{Name: letters, Priority: 1, QueueLimit: 50}, {Name: quotes, Priority: 0, QueueLimit: 50}}}
}

// queueSim drives a queue as an entry does, on a virtual clock: each started request ends after its run time.
type queueSim struct {
	queue    *admission.Queue
	now      time.Time
	next     uint64
	running  map[uint64]time.Time
	started  []admission.Request
	refused  map[uint64]error
	refusedN int
}

func newQueueSim(opts admission.Options, concurrency int) *queueSim {
	rate := float64(concurrency) * tokens / run.Seconds()
	return &queueSim{
		queue: admission.NewQueue(opts, admission.Capacity{Concurrency: concurrency, TokensPerSecond: rate}),
		now:   begin, running: make(map[uint64]time.Time), refused: make(map[uint64]error),
	}
}

func (s *queueSim) submit(client ids.Client, class string, deadline time.Duration) uint64 {
	s.next++
	s.record(s.queue.Submit(admission.Request{
		ID: s.next, Client: client, Class: class, Tokens: tokens, Run: run, Deadline: s.now.Add(deadline),
	}, s.now))
	return s.next
}

func (s *queueSim) record(outcomes []admission.Outcome) {
	for _, o := range outcomes {
		if o.Err != nil {
			s.refused[o.Request.ID] = o.Err
			s.refusedN++
			continue
		}
		s.started = append(s.started, o.Request)
		s.running[o.Request.ID] = s.now.Add(run)
	}
}

// advance advances the clock in steps of 10 ms.
func (s *queueSim) advance(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(step)
		for id := uint64(1); id <= s.next; id++ {
			if at, ok := s.running[id]; ok && !at.After(s.now) {
				delete(s.running, id)
				s.record(s.queue.Done(id, tokens, s.now))
			}
		}
		s.record(s.queue.Tick(s.now))
	}
}

func code(err error) failure.Code {
	if err == nil {
		return ""
	}
	return failure.CodeOf(err)
}

func TestTheFirstClassGoesFirst(t *testing.T) {
	s := newQueueSim(options(), 1)
	for range 3 {
		s.submit("a", letters, time.Minute)
	}
	for range 2 {
		s.submit("a", quotes, time.Minute)
	}
	s.advance(time.Second)
	var order []string
	for _, r := range s.started {
		order = append(order, r.Class)
	}
	if diff := cmp.Diff([]string{letters, quotes, quotes, letters, letters}, order); diff != "" {
		t.Fatal(diff)
	}
}

func TestTheReserveIsForTheFirstClass(t *testing.T) {
	opts := options()
	opts.Reserve = 0.25
	s := newQueueSim(opts, 8)
	s.submit("a", quotes, time.Minute)
	s.advance(2 * run)
	s.started = nil
	for range 10 {
		s.submit("a", letters, time.Minute)
	}
	if len(s.started) != 6 {
		t.Fatalf("%d of at most 8 letters started with a quarter reserved", len(s.started))
	}
	s.submit("a", quotes, time.Minute)
	if got := s.started[len(s.started)-1].Class; got != quotes {
		t.Fatalf("a quote waits although capacity is reserved for it")
	}
}

// Guards against capacity that stays unused: a service whose requests are all of a lower class loses the reserve to a
// class that sends no requests.
func TestNothingIsReservedForAnUnusedClass(t *testing.T) {
	opts := options()
	opts.Reserve = 0.25
	s := newQueueSim(opts, 8)
	for range 10 {
		s.submit("a", letters, time.Minute)
	}
	if len(s.started) != 8 {
		t.Fatalf("%d letters started with a concurrency of 8", len(s.started))
	}
}

// Guards against a class that is blocked by one client: an account is removed while its requests wait, its share is
// then 0, and the queue divides by it.
func TestClientWithoutAShareDoesNotBlockOthers(t *testing.T) {
	opts := options()
	opts.Share = func(c ids.Client) float64 { return map[ids.Client]float64{"a": 1}[c] }
	s := newQueueSim(opts, 1)
	for range 5 {
		s.submit("removed", letters, time.Minute)
		s.submit("a", letters, time.Minute)
	}
	s.advance(11 * run)
	if len(s.started) != 10 {
		t.Fatalf("%d of 10 started", len(s.started))
	}
}

func TestRefusalOnSubmitHasRetryAfter(t *testing.T) {
	tests := map[string]struct {
		change   func(*admission.Options)
		waiting  int
		deadline time.Duration
		want     failure.Code
		after    time.Duration
	}{
		"free capacity":                      {nil, 0, time.Minute, "", 0},
		"waits":                              {nil, 5, time.Minute, "", 0},
		"deadline before the end of the run": {nil, 0, run / 2, failure.CodeDeadlineUnmet, 0},
		"deadline before its turn":           {nil, 40, 2 * time.Second, failure.CodeDeadlineUnmet, 3 * time.Second},
		"queue full":                         {nil, 50, time.Minute, failure.CodeOverloaded, 5 * time.Second},
		"wait longer than MaxWait":           {func(o *admission.Options) { o.MaxWait = time.Second }, 15, time.Minute, failure.CodeOverloaded, time.Second},
		"wait as long as MaxWait":            {func(o *admission.Options) { o.MaxWait = time.Second }, 10, time.Minute, "", 0},
		"unknown class":                      {func(o *admission.Options) { o.Classes = o.Classes[:1] }, 0, time.Minute, failure.CodeInternal, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			opts := options()
			if tc.change != nil {
				tc.change(&opts)
			}
			s := newQueueSim(opts, 1)
			if tc.waiting > 0 {
				s.submit("a", quotes, time.Hour)
			}
			for range tc.waiting {
				s.submit("a", quotes, time.Hour)
			}
			err := s.refused[s.submit("a", quotes, tc.deadline)]
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

// Guards against a refusal that comes too late: a waiting request would just meet its deadline, but then the pool loses
// half of its capacity. It must be refused at that time, seconds before the deadline, so that the caller can try
// another server.
func TestWaitingRequestIsRefusedOnceItCannotMeetItsDeadline(t *testing.T) {
	s := newQueueSim(options(), 2)
	for range 40 {
		s.submit("a", letters, time.Minute)
	}
	last := s.submit("a", letters, 3*time.Second)
	if err := s.refused[last]; err != nil {
		t.Fatalf("refused too early: %v", err)
	}
	s.queue.SetCapacity(admission.Capacity{Concurrency: 1, TokensPerSecond: tokens / run.Seconds()})
	s.advance(10 * time.Millisecond)
	if code(s.refused[last]) != failure.CodeDeadlineUnmet {
		t.Fatalf("got %v", s.refused[last])
	}
}

// Guards against an expected wait that ignores higher classes: quotes use half of the pool, and a client submits many
// letters with a near deadline. Those that cannot be done with the other half must be refused on submission.
func TestExpectedWaitIncludesHigherClasses(t *testing.T) {
	s := newQueueSim(options(), 1)
	for range 25 {
		s.submit("a", quotes, time.Minute)
		s.advance(2 * run)
	}
	refused := 0
	for range 11 {
		refused += map[bool]int{true: 1}[s.refused[s.submit("b", letters, 12*run)] != nil]
	}
	if refused < 4 || refused > 6 {
		t.Fatalf("%d of 11 letters were refused; about 6 of them can be done before their deadline", refused)
	}
}

// Guards against a client that floods the queue and so takes capacity from others, which send at most their share.
func TestFloodGetsOnlyItsShare(t *testing.T) {
	opts := options()
	opts.Share = func(c ids.Client) float64 { return map[ids.Client]float64{"double": 2}[c] + 1 }
	s := newQueueSim(opts, 2)
	served := func() map[ids.Client]int {
		n := make(map[ids.Client]int)
		for _, r := range s.started {
			n[r.Client]++
		}
		return n
	}
	for i := range 400 {
		for range 4 {
			s.submit("flood", letters, time.Minute)
		}
		s.submit("double", letters, time.Minute)
		if i%10 == 0 {
			s.submit("modest", letters, time.Minute)
		}
		s.advance(50 * time.Millisecond)
	}
	got := served()
	if got["modest"] < 39 {
		t.Errorf("modest asked for 40 and got %d", got["modest"])
	}
	if per := float64(got["double"]) / float64(got["flood"]); per < 2.7 || per > 3.3 {
		t.Errorf("shares are 3 to 1, served was %d to %d", got["double"], got["flood"])
	}
}

func TestWrongEstimateIsCharged(t *testing.T) {
	s := newQueueSim(options(), 1)
	for range 20 {
		s.submit("long", letters, time.Minute)
		s.submit("short", letters, time.Minute)
	}
	for range 20 {
		id := s.started[len(s.started)-1].ID
		used := tokens
		if s.started[len(s.started)-1].Client == "long" {
			used = 3 * tokens
		}
		s.record(s.queue.Done(id, used, s.now))
	}
	n := make(map[ids.Client]int)
	for _, r := range s.started {
		n[r.Client]++
	}
	if n["short"] < 14 || n["long"] > 7 {
		t.Fatalf("answers three times as long as estimated, served %v", n)
	}
}

// Guards against requests without an outcome or with two, too many started requests, and requests that wait while there
// is capacity, after any sequence of submissions, completions and cancellations.
func TestEveryRequestGetsOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const concurrency = 3
		s := newQueueSim(options(), concurrency)
		cancelled := make(map[uint64]bool)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				client := ids.Client(fmt.Sprintf("c%d", rapid.IntRange(0, 3).Draw(t, "client")))
				deadline := time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond
				s.submit(client, rapid.SampledFrom([]string{quotes, letters}).Draw(t, "class"), deadline)
			case 2:
				s.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			case 3:
				if s.next > 0 {
					id := rapid.Uint64Range(1, s.next).Draw(t, "cancel")
					if s.queue.Cancel(id) {
						cancelled[id] = true
					}
				}
			}
			if n := s.queue.Started(); n > concurrency {
				t.Fatalf("%d started with a concurrency of %d", n, concurrency)
			}
			if s.queue.Waiting() > 0 && s.queue.Started() < concurrency {
				t.Fatalf("%d wait while %d are started with a concurrency of %d", s.queue.Waiting(), s.queue.Started(), concurrency)
			}
		}
		s.advance(10 * time.Second)
		outcomes := make(map[uint64]int)
		for _, r := range s.started {
			outcomes[r.ID]++
		}
		for id := range s.refused {
			outcomes[id]++
		}
		for id := range cancelled {
			outcomes[id]++
		}
		for id := uint64(1); id <= s.next; id++ {
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
			q := admission.NewQueue(opts, admission.Capacity{Concurrency: 10, TokensPerSecond: 1e6})
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
