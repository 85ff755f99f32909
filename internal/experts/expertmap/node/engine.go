package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
)

// Engine is the rank's engine as the slot sees it. What safety rests on:
//
//   - only this slot gives the engine these orders, over one connection that replaces an earlier slot's, so that no
//     order of an earlier life takes effect after the first Report;
//   - the engine keeps its limit, map and first step when the slot dies;
//   - it refuses an order whose Order.Map is not its map, a limit or switch whose step has started, a lift of another
//     limit. It may ignore fencing numbers;
//   - Report is read after the orders before it took effect.
type Engine interface {
	// Report reads the engine's state; its field Order is not used.
	Report(ctx context.Context) (expertmap.EngineReport, error)
	// Do gives an order and returns once it was carried out or refused; which of the two, the next Report shows. An
	// order to load weights returns once loading has begun, and repeating it is no error. An error means that
	// nothing is known; the order is then given again.
	Do(ctx context.Context, o expertmap.Order) error
}

// engineTimeout bounds one call to the engine; a call that fails is repeated after engineRetry.
const (
	engineTimeout = time.Second
	engineRetry   = 20 * time.Millisecond
)

// engineWorker gives the orders one at a time, in their order, and reports after each and every poll period.
type engineWorker struct {
	engine Engine
	poll   time.Duration
	report func(expertmap.EngineReport)
	mu     sync.Mutex
	queue  []expertmap.Order
	wake   chan struct{}
	last   uint64
}

func newEngineWorker(e Engine, poll time.Duration, report func(expertmap.EngineReport)) *engineWorker {
	return &engineWorker{engine: e, poll: poll, report: report, wake: make(chan struct{}, 1)}
}

func (w *engineWorker) push(o expertmap.Order) {
	w.mu.Lock()
	w.queue = append(w.queue, o)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *engineWorker) pop() (expertmap.Order, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		return expertmap.Order{}, false
	}
	o := w.queue[0]
	w.queue = w.queue[1:]
	return o, true
}

func (w *engineWorker) run(ctx context.Context) {
	timer := time.NewTimer(w.poll)
	defer timer.Stop()
	for {
		w.executeQueue(ctx)
		w.sendReport(ctx)
		timer.Reset(w.poll)
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-timer.C:
		}
	}
}

// executeQueue gives every waiting order. The slot relies on each being answered, so one without an answer is given again.
func (w *engineWorker) executeQueue(ctx context.Context) {
	for {
		o, ok := w.pop()
		if !ok {
			return
		}
		done := retry(ctx, func(ctx context.Context) error { return w.engine.Do(ctx, o) })
		if !done {
			return
		}
		w.last = o.ID
		w.sendReport(ctx)
	}
}

func (w *engineWorker) sendReport(ctx context.Context) {
	var r expertmap.EngineReport
	done := retry(ctx, func(ctx context.Context) (err error) {
		r, err = w.engine.Report(ctx)
		return err
	})
	if !done {
		return
	}
	r.Order = w.last
	w.report(r)
}

// retry calls f until it succeeds; it returns false once ctx has ended.
func retry(ctx context.Context, f func(context.Context) error) bool {
	for {
		callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		err := f(callCtx)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(engineRetry):
		}
	}
}

// NewIncarnation draws an incarnation for a slot that starts now: milliseconds since 1970 and 20 random bits, so that
// a later life has a larger number unless the clock was set back (see expertmap.Superseded).
func NewIncarnation() expertmap.Incarnation {
	const randomBits = 20
	return expertmap.Incarnation(uint64(time.Now().UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits))
}
