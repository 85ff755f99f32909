package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
)

// Engine is the slot's interface to the rank's engine. Safety depends on these properties:
//
//   - Only this slot sends the engine these orders, over one connection that replaces that of an earlier slot, so
//     that no order of an earlier incarnation takes effect after the first Report.
//   - The engine keeps its limit, map and first step when the slot crashes.
//   - The engine refuses an order whose Order.Map is not its map, a limit or switch whose step has started, and a
//     lift of another limit. It may ignore fencing tokens.
//   - Report is read after the preceding orders took effect.
type Engine interface {
	// Report reads the engine's state; the field Order of the result is ignored.
	Report(ctx context.Context) (expertmap.EngineReport, error)
	// Do sends an order and returns once the engine has executed or refused it; the next Report shows which. An order
	// to load weights returns once loading has begun, and repeating it is no error. After an error the outcome is
	// unknown, and the order is sent again.
	Do(ctx context.Context, o expertmap.Order) error
}

// engineTimeout bounds one call to the engine; a failed call is repeated after engineRetry.
const (
	engineTimeout = time.Second
	engineRetry   = 20 * time.Millisecond
)

// engineWorker sends orders to the engine one at a time, in sequence. It reports the engine's state after each order
// and once per poll interval.
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

// executeQueue sends all queued orders. It repeats an order until the engine responds, since the slot relies on a
// report after every order.
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

// retry calls f until it succeeds; it returns false once ctx is done.
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

// NewIncarnation returns an incarnation for a slot that starts now: milliseconds since 1970 and 20 random bits. A
// later incarnation has a larger number unless the clock was set back (see expertmap.Superseded).
func NewIncarnation() expertmap.Incarnation {
	const randomBits = 20
	return expertmap.Incarnation(uint64(time.Now().UnixMilli())<<randomBits | rand.Uint64N(1<<randomBits))
}
