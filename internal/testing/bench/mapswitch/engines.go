package mapswitch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
)

// lockstep runs the engines of a group: a step begins when every rank may start it and ends for all together.
type lockstep struct {
	mu       sync.Mutex
	changed  *sync.Cond
	engines  []*expertmap.EngineModel
	stepTime time.Duration
	rng      *rand.Rand
	closed   bool
	// waits counts the steps that waited for an engine's limit, waited the time.
	waits  int
	waited time.Duration
	// fault is set if a step ran under two maps.
	fault error
}

// TwoMapsError says that a step ran under two maps.
type TwoMapsError struct {
	Step expertmap.Step
	A, B expertmap.MapID
}

// Error implements error.
func (e *TwoMapsError) Error() string {
	return fmt.Sprintf("step %d ran under maps %s and %s", e.Step, e.A, e.B)
}

func newLockstep(ranks int, stepTime time.Duration, rng *rand.Rand) *lockstep {
	l := &lockstep{stepTime: stepTime, rng: rng}
	l.changed = sync.NewCond(&l.mu)
	for range ranks {
		e := expertmap.NewEngineModel(0)
		e.StepTime = stepTime
		l.engines = append(l.engines, e)
	}
	return l
}

// run takes steps until close. A step takes its time and up to a tenth more, the slowest rank's lag.
func (l *lockstep) run() {
	for l.begin() {
		const lag = 0.1
		time.Sleep(time.Duration(float64(l.stepTime) * (1 + lag*l.rng.Float64())))
	}
}

// begin waits until every rank may start the next step and starts it.
func (l *lockstep) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := time.Now()
	held := false
	for !l.closed && !l.ready() {
		held = held || !l.engines[0].Map.IsZero()
		l.changed.Wait()
	}
	if held {
		l.waits++
		l.waited += time.Since(start)
	}
	first := l.engines[0].MapAt(l.engines[0].Next)
	for _, e := range l.engines {
		if m := e.MapAt(e.Next); m != first && !l.closed {
			l.fault = &TwoMapsError{e.Next, first, m}
		}
		e.Next++
	}
	return !l.closed
}

func (l *lockstep) ready() bool {
	for _, e := range l.engines {
		if !e.MayStart() {
			return false
		}
	}
	return true
}

func (l *lockstep) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
}

// pauses returns and clears what was counted.
func (l *lockstep) pauses() (steps int, waited time.Duration, fault error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	steps, waited = l.waits, l.waited
	l.waits, l.waited = 0, 0
	return steps, waited, l.fault
}

// rankEngine is one rank's engine as its slot sees it.
type rankEngine struct {
	group *lockstep
	rank  int
}

// Report implements node.Engine.
func (r rankEngine) Report(context.Context) (expertmap.EngineReport, error) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return r.group.engines[r.rank].EngineReport, nil
}

// Do implements node.Engine.
func (r rankEngine) Do(_ context.Context, o expertmap.Order) error {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.group.engines[r.rank].Apply(o)
	r.group.changed.Broadcast()
	return nil
}
