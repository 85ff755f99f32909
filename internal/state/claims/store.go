package claims

import (
	"context"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// eventBuffer is how many events may wait for the goroutine that owns the ledger.
const eventBuffer = 256

// Store runs a Ledger against the platform's table. Its methods are safe for concurrent use; they wait for Run.
type Store struct {
	table   platform.Table
	opts    Options
	timeout time.Duration
	events  chan event
	// done is closed when Run has returned.
	done chan struct{}
}

// event is a change that the goroutine of Run makes.
type event func(o *owner, now time.Time) []Effect

// owner is what only the goroutine of Run touches.
type owner struct {
	ledger  *Ledger
	waiting map[ids.Attempt]chan Verdict
	drained []chan struct{}
}

// NewStore returns a store. The answer to a transaction counts as lost after timeout.
func NewStore(table platform.Table, opts Options, timeout time.Duration) *Store {
	return &Store{
		table:   table,
		opts:    opts,
		timeout: timeout,
		events:  make(chan event, eventBuffer),
		done:    make(chan struct{}),
	}
}

// Run owns the ledger until ctx ends. What the table did not acknowledge by then stays in the table as running, so
// that a resend gets "running" and, after the deadline, "outcome unknown". Call Drain first for an orderly exit.
func (s *Store) Run(ctx context.Context) {
	defer close(s.done)
	if s.opts.SweepInterval > 0 {
		go s.sweeper().Run(ctx, s.opts.SweepInterval, s.opts.countSwept)
	}
	o := &owner{ledger: NewLedger(s.opts), waiting: map[ids.Attempt]chan Verdict{}}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next, ok := o.ledger.Next(); ok {
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case ev := <-s.events:
			s.perform(ctx, o, ev(o, time.Now()))
		case <-timer.C:
			s.perform(ctx, o, o.ledger.Tick(time.Now()))
		}
		o.checkDrained()
	}
}

func (s *Store) sweeper() *Sweeper {
	return &Sweeper{
		Table:        s.table,
		Margin:       s.opts.Margin,
		MaxWrites:    s.opts.SweepWrites,
		NewOperation: ids.NewOperation,
	}
}

// Claim asks whether the attempt may start. After Verdict.Start exactly one of Finished, Lost and NotStarted must
// follow. If ctx ends first, the attempt is refused as cancelled and never starts.
func (s *Store) Claim(ctx context.Context, r Request) Verdict {
	answer := make(chan Verdict, 1)
	s.post(func(o *owner, now time.Time) []Effect { return o.submit(now, r, answer) })
	select {
	case v := <-answer:
		return v
	case <-s.done:
		return refusal(failure.CodeStopping, nil)
	case <-ctx.Done():
	}
	s.post(func(o *owner, now time.Time) []Effect { return o.ledger.Cancel(now, r.Attempt) })
	select {
	case v := <-answer:
		return s.tooLate(r.Attempt, v)
	case <-s.done:
		return refusal(failure.CodeStopping, nil)
	}
}

// tooLate turns a start that crossed with the end of the caller's context into a refusal.
func (s *Store) tooLate(a ids.Attempt, v Verdict) Verdict {
	if !v.Start {
		return v
	}
	s.NotStarted(a)
	return refusal(failure.CodeCancelled, nil)
}

// Finished stores the outcome of a started attempt, in the background.
func (s *Store) Finished(a ids.Attempt, out Outcome) {
	s.post(func(o *owner, now time.Time) []Effect { return o.ledger.Finished(now, a, out) })
}

// Lost says that a started attempt may have run but has no answer; a resend gets "outcome unknown".
func (s *Store) Lost(a ids.Attempt) {
	s.post(func(o *owner, now time.Time) []Effect { return o.ledger.Lost(now, a) })
}

// NotStarted says that a started attempt provably never reached the upstream; the claim is given back.
func (s *Store) NotStarted(a ids.Attempt) {
	s.post(func(o *owner, now time.Time) []Effect { return o.ledger.NotStarted(now, a) })
}

// Drain waits until no claim is live, the table having acknowledged every outcome, or until ctx or Run ends.
func (s *Store) Drain(ctx context.Context) {
	empty := make(chan struct{})
	s.post(func(o *owner, _ time.Time) []Effect {
		o.drained = append(o.drained, empty)
		return nil
	})
	select {
	case <-empty:
	case <-ctx.Done():
	case <-s.done:
	}
}

func (s *Store) post(ev event) {
	select {
	case s.events <- ev:
	case <-s.done:
	}
}

func (o *owner) submit(now time.Time, r Request, answer chan Verdict) []Effect {
	// A copy of an attempt that still waits must not take the verdict of the original.
	if o.waiting[r.Attempt] != nil {
		answer <- refusal(failure.CodeRunning, nil)
		return nil
	}
	o.waiting[r.Attempt] = answer
	return o.ledger.Submit(now, r)
}

func (o *owner) checkDrained() {
	if o.ledger.Live() > 0 {
		return
	}
	for _, c := range o.drained {
		close(c)
	}
	o.drained = nil
}

func (s *Store) perform(ctx context.Context, o *owner, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Answer:
			s.opts.countVerdict(e.Verdict)
			if c := o.waiting[e.Attempt]; c != nil {
				delete(o.waiting, e.Attempt)
				c <- e.Verdict
			}
		case Commit:
			go s.commit(ctx, e.Txn)
		}
	}
}

// commit sends one transaction and posts what became of it.
func (s *Store) commit(ctx context.Context, t platform.Txn) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	res, err := s.table.Commit(ctx, t)
	s.opts.countTransaction(err)
	s.post(func(o *owner, now time.Time) []Effect { return o.ledger.Committed(now, t.Operation, res, err) })
}
