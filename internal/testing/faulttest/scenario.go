package faulttest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of a scenario and the times of its faults.
const (
	chats        = 40
	burst        = 5
	slips        = 25
	loadTime     = 800 * time.Millisecond
	maxTokens    = 40
	maxSends     = 4
	resendPause  = 60 * time.Millisecond
	strikeWithin = 400 * time.Millisecond
	shortest     = 150 * time.Millisecond
	longest      = 700 * time.Millisecond
	readyTries   = 400
	readyPause   = 25 * time.Millisecond
	readyInRow   = 3
)

// Scenario is one run: requests while faults come and go.
type Scenario struct {
	Seed     uint64
	Faults   []Fault
	Sabotage Sabotage
}

// Name names the faults.
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

// Line is the outcome of one scenario.
type Line struct {
	Name string
	Seed uint64
	// Sends counts requests as sent, resends among them.
	Sends, Answered, NotRun, Unknown int
	Violations                       []Violation
}

// String formats the line for make test-faults.
func (l Line) String() string {
	return fmt.Sprintf("%-46s seed %-4d requests %-4d answered %-4d refused-as-not-run %-4d outcome-unknown %-4d violations %d",
		l.Name, l.Seed, l.Sends, l.Answered, l.NotRun, l.Unknown, len(l.Violations))
}

// NotReadyError says that a deployment without faults did not begin to serve.
type NotReadyError struct{ Entry string }

// Error implements error.
func (e *NotReadyError) Error() string { return "faulttest: " + e.Entry + " does not serve" }

// run is one scenario under way.
type run struct {
	c     *Cluster
	seed  uint64
	marks atomic.Int64
	mu    sync.Mutex
	sends []Send
}

// mark names one send.
func (r *run) mark() string { return fmt.Sprintf("mark-%d-%d.", r.seed+1, r.marks.Add(1)) }

// Run plays a scenario. An error means that the harness could not play it, not that a promise was broken.
func Run(sc Scenario) (Line, error) {
	c, err := NewCluster(sc.Sabotage)
	if err != nil {
		return Line{}, err
	}
	defer c.Close()
	r := &run{c: c, seed: sc.Seed}
	if err := r.waitReady(); err != nil {
		return Line{}, err
	}
	rng := rand.New(rand.NewPCG(sc.Seed, 11))
	var load, faults sync.WaitGroup
	r.begin(&load, rng)
	errs := make([]error, len(sc.Faults))
	for i, f := range sc.Faults {
		own := rand.New(rand.NewPCG(sc.Seed, uint64(100+i)))
		faults.Go(func() { errs[i] = r.strike(f, own) })
	}
	faults.Wait()
	load.Wait()
	for _, err := range errs {
		if err != nil {
			return Line{}, err
		}
	}
	r.resendAll()
	return r.line(sc), nil
}

// waitReady sends requests through every entry until each service has answered a few times in a row.
func (r *run) waitReady() error {
	call := newCaller()
	for i, e := range r.c.Entries {
		good := 0
		for try := 0; good < readyInRow; try++ {
			if try >= readyTries {
				return &NotReadyError{e.set.Name}
			}
			chat, _ := call.chat(e.set.HTTP.Address, r.mark(), 1)
			slip, _ := call.slip(e.set.HTTP.Address, fmt.Sprintf("ready-%d-%d", i, try), r.mark())
			if chat.Class != Answered || slip.Class != Answered {
				good = 0
				time.Sleep(readyPause)
				continue
			}
			good++
		}
	}
	return nil
}

// begin starts the load: requests spread over loadTime, each through an entry drawn at random. Chats come in bursts, so
// that tokens of the same place in different answers pass the relays together.
func (r *run) begin(wg *sync.WaitGroup, rng *rand.Rand) {
	var at time.Duration
	for i := range chats {
		if i%burst == 0 {
			at = time.Duration(rng.Int64N(int64(loadTime)))
		}
		at := at
		tokens := 1 + rng.IntN(maxTokens)
		first := rng.IntN(entries)
		wg.Go(func() {
			time.Sleep(at)
			r.chat(tokens, first)
		})
	}
	for i := range slips {
		at := time.Duration(rng.Int64N(int64(loadTime)))
		key := r.key(i)
		first := rng.IntN(entries)
		wg.Go(func() {
			time.Sleep(at)
			r.slip(key, first)
		})
		if rng.IntN(4) == 0 { // An impatient caller sends it through the other entry at the same time.
			wg.Go(func() {
				time.Sleep(at)
				r.slip(key, 1-first)
			})
		}
	}
}

func (r *run) key(i int) string { return fmt.Sprintf("slip-%d-%d", r.seed, i) }

func (r *run) note(s Send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends = append(r.sends, s)
}

// chat sends one request to the model, through the other entry if the first cannot be reached.
func (r *run) chat(tokens, first int) {
	for i := range entries {
		s, sent := newCaller().chat(r.address(first+i), r.mark(), tokens)
		if sent {
			r.note(s)
			return
		}
	}
}

// slip sends one slip, and sends it again through the other entry until it is answered.
func (r *run) slip(key string, first int) {
	for i := range maxSends {
		s, sent := newCaller().slip(r.address(first+i), key, r.mark())
		if sent {
			r.note(s)
		}
		if s.Class == Answered {
			return
		}
		time.Sleep(resendPause)
	}
}

func (r *run) address(i int) string { return r.c.Entries[i%entries].set.HTTP.Address }

// strike begins a fault at its time and ends it.
func (r *run) strike(f Fault, rng *rand.Rand) error {
	time.Sleep(time.Duration(rng.Int64N(int64(strikeWithin))))
	r.c.control.Lock()
	heal := f.Strike(r.c, rng)
	r.c.control.Unlock()
	time.Sleep(shortest + time.Duration(rng.Int64N(int64(longest-shortest))))
	if heal == nil {
		return nil
	}
	r.c.control.Lock()
	defer r.c.control.Unlock()
	return heal()
}

// resendAll sends every slip once more when all faults are over: it must not run again.
func (r *run) resendAll() {
	var wg sync.WaitGroup
	for i := range slips {
		wg.Go(func() {
			if s, sent := newCaller().slip(r.address(i), r.key(i), r.mark()); sent {
				r.note(s)
			}
		})
	}
	wg.Wait()
}

func (r *run) line(sc Scenario) Line {
	l := Line{Name: sc.Name(), Seed: sc.Seed, Sends: len(r.sends), Violations: Check(r.sends, r.c.Evidence())}
	for _, s := range r.sends {
		switch s.Class {
		case Answered:
			l.Answered++
		case NotRun:
			l.NotRun++
		default:
			l.Unknown++
		}
	}
	return l
}
