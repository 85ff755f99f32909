package mapswitch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
)

// lockstep runs the engine models of a group. A step starts when every rank may start it, and ends for all ranks at the
// same time.
type lockstep struct {
	mu       sync.Mutex
	changed  *sync.Cond
	engines  []*expertmap.EngineModel
	stepTime time.Duration
	rng      *rand.Rand
	closed   bool
	// pausedSteps counts the steps that had to wait because an engine had reached its limit, the first step that it must
	// not run yet. pausedTime is their total wait.
	pausedSteps int
	pausedTime  time.Duration
	// fault is set if a step ran under two maps, which a correct switch rules out.
	fault error
}

// TwoMapsError reports that two ranks ran a step under different maps.
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

// run runs steps until close. A step takes stepTime and up to a tenth more for the lag of the slowest rank.
func (l *lockstep) run() {
	for l.startStep() {
		const lag = 0.1
		time.Sleep(time.Duration(float64(l.stepTime) * (1 + lag*l.rng.Float64())))
	}
}

// startStep waits until every rank may start the next step, and starts it. It reports false after close.
func (l *lockstep) startStep() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	start := time.Now()
	held := false
	for !l.closed && !l.ready() {
		held = held || !l.engines[0].Map.IsZero()
		l.changed.Wait()
	}
	if held {
		l.pausedSteps++
		l.pausedTime += time.Since(start)
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

// ready reports whether every rank may start its next step. The caller holds mu.
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

// takePauses returns the number of paused steps and their time, and resets both. It also returns the fault, if any.
func (l *lockstep) takePauses() (steps int, waited time.Duration, fault error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	steps, waited = l.pausedSteps, l.pausedTime
	l.pausedSteps, l.pausedTime = 0, 0
	return steps, waited, l.fault
}

// rankEngine is the engine of one rank, from the perspective of its slot.
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
