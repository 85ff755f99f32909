package faulttest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of a scenario and the timing of its faults.
const (
	chatCount        = 40
	burstSize        = 5
	slipCount        = 25
	loadDuration     = 800 * time.Millisecond
	maxTokens        = 40
	maxCalls         = 4
	resendPause      = 60 * time.Millisecond
	maxFaultDelay    = 400 * time.Millisecond
	minFaultTime     = 150 * time.Millisecond
	maxFaultTime     = 700 * time.Millisecond
	maxReadyAttempts = 400
	readyPause       = 25 * time.Millisecond
	readyConsecutive = 3
)

// Scenario configures one run: requests are sent while the faults are injected and reverted.
type Scenario struct {
	Seed     uint64
	Faults   []Fault
	Disabled DisabledSafeguards
}

// Name returns the names of the faults, joined by "+", or "no-fault".
func (s Scenario) Name() string {
	if len(s.Faults) == 0 {
		return "no-fault"
	}
	var names []string
	for _, f := range s.Faults {
		names = append(names, f.Name)
	}
	return strings.Join(names, "+")
}

// Result is the outcome of one scenario.
type Result struct {
	Name string
	Seed uint64
	// Calls is the number of calls, including resends; the other counts are those of each class.
	Calls, Answered, NotRun, Unknown int
	Violations                       []Violation
}

// String formats the result as the line that make test-faults prints.
func (r Result) String() string {
	return fmt.Sprintf("%-46s seed %-4d requests %-4d answered %-4d refused-as-not-run %-4d outcome-unknown %-4d violations %d",
		r.Name, r.Seed, r.Calls, r.Answered, r.NotRun, r.Unknown, len(r.Violations))
}

// NotReadyError reports that an entry did not start to serve before any fault was injected.
type NotReadyError struct{ Entry string }

// Error implements error.
func (e *NotReadyError) Error() string { return "faulttest: " + e.Entry + " does not serve" }

// run is the state of a running scenario.
type run struct {
	c     *Cluster
	seed  uint64
	marks atomic.Int64
	mu    sync.Mutex
	calls []Call
}

// newMark returns a unique mark for a call.
func (r *run) newMark() string { return fmt.Sprintf("mark-%d-%d.", r.seed+1, r.marks.Add(1)) }

// Run runs a scenario. An error means that the harness could not run it, not that a guarantee was violated.
func Run(sc Scenario) (Result, error) {
	c, err := NewCluster(sc.Disabled)
	if err != nil {
		return Result{}, err
	}
	defer c.Close()
	r := &run{c: c, seed: sc.Seed}
	if err := r.waitReady(); err != nil {
		return Result{}, err
	}
	rng := rand.New(rand.NewPCG(sc.Seed, 11))
	var load, faults sync.WaitGroup
	r.startLoad(&load, rng)
	errs := make([]error, len(sc.Faults))
	for i, f := range sc.Faults {
		own := rand.New(rand.NewPCG(sc.Seed, uint64(100+i)))
		faults.Go(func() { errs[i] = r.injectFault(f, own) })
	}
	faults.Wait()
	load.Wait()
	for _, err := range errs {
		if err != nil {
			return Result{}, err
		}
	}
	r.resendAll()
	return r.result(sc), nil
}

// waitReady sends requests through each entry until readyConsecutive consecutive pairs of requests, one to each
// service, are answered. It returns *NotReadyError after maxReadyAttempts pairs at one entry.
func (r *run) waitReady() error {
	client := newCaller()
	for i, e := range r.c.Entries {
		consecutive := 0
		for try := 0; consecutive < readyConsecutive; try++ {
			if try >= maxReadyAttempts {
				return &NotReadyError{e.set.Name}
			}
			chat, _ := client.chat(e.set.HTTP.Address, r.newMark(), 1)
			slip, _ := client.slip(e.set.HTTP.Address, fmt.Sprintf("ready-%d-%d", i, try), r.newMark())
			if chat.Class != Answered || slip.Class != Answered {
				consecutive = 0
				time.Sleep(readyPause)
				continue
			}
			consecutive++
		}
	}
	return nil
}

// startLoad starts the load: requests spread over loadDuration, each through a random entry. Chats come in bursts, so that
// tokens at the same position in different responses reach the relays at about the same time.
func (r *run) startLoad(wg *sync.WaitGroup, rng *rand.Rand) {
	var at time.Duration
	for i := range chatCount {
		if i%burstSize == 0 {
			at = time.Duration(rng.Int64N(int64(loadDuration)))
		}
		at := at
		tokens := 1 + rng.IntN(maxTokens)
		first := rng.IntN(entries)
		wg.Go(func() {
			time.Sleep(at)
			r.chat(tokens, first)
		})
	}
	for i := range slipCount {
		at := time.Duration(rng.Int64N(int64(loadDuration)))
		key := r.key(i)
		first := rng.IntN(entries)
		wg.Go(func() {
			time.Sleep(at)
			r.slip(key, first)
		})
		if rng.IntN(4) == 0 { // The caller also sends the slip through the other entry, at the same time.
			wg.Go(func() {
				time.Sleep(at)
				r.slip(key, 1-first)
			})
		}
	}
}

func (r *run) key(i int) string { return fmt.Sprintf("slip-%d-%d", r.seed, i) }

func (r *run) recordCall(s Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, s)
}

// chat sends one request to the model, through the other entry if the first is unreachable.
func (r *run) chat(tokens, first int) {
	for i := range entries {
		s, sent := newCaller().chat(r.address(first+i), r.newMark(), tokens)
		if sent {
			r.recordCall(s)
			return
		}
	}
}

// slip sends one slip, alternating between the entries, until it is answered or maxCalls are made.
func (r *run) slip(key string, first int) {
	for i := range maxCalls {
		s, sent := newCaller().slip(r.address(first+i), key, r.newMark())
		if sent {
			r.recordCall(s)
		}
		if s.Class == Answered {
			return
		}
		time.Sleep(resendPause)
	}
}

func (r *run) address(i int) string { return r.c.Entries[i%entries].set.HTTP.Address }

// injectFault injects a fault after a random delay and reverts it after a random duration.
func (r *run) injectFault(f Fault, rng *rand.Rand) error {
	time.Sleep(time.Duration(rng.Int64N(int64(maxFaultDelay))))
	r.c.faultMu.Lock()
	revert := f.Inject(r.c, rng)
	r.c.faultMu.Unlock()
	time.Sleep(minFaultTime + time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime))))
	if revert == nil {
		return nil
	}
	r.c.faultMu.Lock()
	defer r.c.faultMu.Unlock()
	return revert()
}

// resendAll sends every slip once more after all faults are reverted; none of them may run again.
func (r *run) resendAll() {
	var wg sync.WaitGroup
	for i := range slipCount {
		wg.Go(func() {
			if s, sent := newCaller().slip(r.address(i), r.key(i), r.newMark()); sent {
				r.recordCall(s)
			}
		})
	}
	wg.Wait()
}

func (r *run) result(sc Scenario) Result {
	res := Result{Name: sc.Name(), Seed: sc.Seed, Calls: len(r.calls), Violations: Check(r.calls, r.c.Evidence())}
	for _, s := range r.calls {
		switch s.Class {
		case Answered:
			res.Answered++
		case NotRun:
			res.NotRun++
		default:
			res.Unknown++
		}
	}
	return res
}
