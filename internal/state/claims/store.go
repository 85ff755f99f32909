package claims

import (
	"context"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// eventBuffer is the number of events that can be queued for the goroutine of Run.
const eventBuffer = 256

// Store runs a Ledger against the platform's table; it stores nothing itself. Its methods are safe for concurrent use.
// They pass events to the goroutine of Run. Only Claim and Drain wait for a result.
type Store struct {
	table   platform.Table
	opts    Options
	timeout time.Duration
	events  chan event
	// done is closed when Run has returned.
	done chan struct{}
}

// event is a function that the goroutine of Run executes on its state.
type event func(st *loopState, now time.Time) []Effect

// loopState is the state that only the goroutine of Run accesses.
type loopState struct {
	ledger  *Ledger
	waiting map[ids.Attempt]chan Verdict
	drained []chan struct{}
}

// NewStore returns a Store. If the table does not respond to a transaction within timeout, the response is regarded as
// lost.
func NewStore(table platform.Table, opts Options, timeout time.Duration) *Store {
	return &Store{
		table:   table,
		opts:    opts,
		timeout: timeout,
		events:  make(chan event, eventBuffer),
		done:    make(chan struct{}),
	}
}

// Run drives the ledger until ctx is done. Claims whose outcome the table has not acknowledged by then stay in the
// table as running: a resend gets "running" and, after the deadline, "outcome unknown". For a graceful shutdown
// call Drain first.
func (s *Store) Run(ctx context.Context) {
	defer close(s.done)
	if s.opts.SweepInterval > 0 {
		go s.sweeper().Run(ctx, s.opts.SweepInterval, s.opts.countSwept)
	}
	st := &loopState{ledger: NewLedger(s.opts), waiting: map[ids.Attempt]chan Verdict{}}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if next, ok := st.ledger.Next(); ok {
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return
		case ev := <-s.events:
			s.perform(ctx, st, ev(st, time.Now()))
		case <-timer.C:
			s.perform(ctx, st, st.ledger.Tick(time.Now()))
		}
		st.checkDrained()
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

// Claim returns the verdict on the attempt. After Verdict.Start the caller must call exactly one of Finished, Lost and
// NotStarted. If ctx is done first, the attempt is refused as cancelled and never starts.
func (s *Store) Claim(ctx context.Context, r Request) Verdict {
	verdict := make(chan Verdict, 1)
	s.post(func(st *loopState, now time.Time) []Effect { return st.submit(now, r, verdict) })
	select {
	case v := <-verdict:
		return v
	case <-s.done:
		return refusal(failure.CodeStopping, nil)
	case <-ctx.Done():
	}
	s.post(func(st *loopState, now time.Time) []Effect { return st.ledger.Cancel(now, r.Attempt) })
	select {
	case v := <-verdict:
		return s.cancelStart(r.Attempt, v)
	case <-s.done:
		return refusal(failure.CodeStopping, nil)
	}
}

// cancelStart turns a start that was decided after the caller's context was done into a refusal. Other verdicts are
// returned unchanged.
func (s *Store) cancelStart(a ids.Attempt, v Verdict) Verdict {
	if !v.Start {
		return v
	}
	s.NotStarted(a)
	return refusal(failure.CodeCancelled, nil)
}

// Finished stores the outcome of a started attempt, in the background.
func (s *Store) Finished(a ids.Attempt, out Outcome) {
	s.post(func(st *loopState, now time.Time) []Effect { return st.ledger.Finished(now, a, out) })
}

// Lost records that a started attempt may have run but has no response. A resend gets "outcome unknown".
func (s *Store) Lost(a ids.Attempt) {
	s.post(func(st *loopState, now time.Time) []Effect { return st.ledger.Lost(now, a) })
}

// NotStarted records that a started attempt provably never reached the upstream. Its claim is released.
func (s *Store) NotStarted(a ids.Attempt) {
	s.post(func(st *loopState, now time.Time) []Effect { return st.ledger.NotStarted(now, a) })
}

// Drain waits until no claim is live, which means that the table has acknowledged every outcome. It returns earlier if
// ctx is done or Run returns.
func (s *Store) Drain(ctx context.Context) {
	empty := make(chan struct{})
	s.post(func(st *loopState, _ time.Time) []Effect {
		st.drained = append(st.drained, empty)
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

func (st *loopState) submit(now time.Time, r Request, verdict chan Verdict) []Effect {
	// A duplicate of an attempt that still waits must not receive the verdict of the original.
	if st.waiting[r.Attempt] != nil {
		verdict <- refusal(failure.CodeRunning, nil)
		return nil
	}
	st.waiting[r.Attempt] = verdict
	return st.ledger.Submit(now, r)
}

func (st *loopState) checkDrained() {
	if st.ledger.Live() > 0 {
		return
	}
	for _, c := range st.drained {
		close(c)
	}
	st.drained = nil
}

func (s *Store) perform(ctx context.Context, st *loopState, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case DeliverVerdict:
			s.opts.countVerdict(e.Verdict)
			if c := st.waiting[e.Attempt]; c != nil {
				delete(st.waiting, e.Attempt)
				c <- e.Verdict
			}
		case Commit:
			go s.commit(ctx, e.Txn)
		}
	}
}

// commit sends one transaction and posts its result to Run.
func (s *Store) commit(ctx context.Context, t platform.Txn) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	res, err := s.table.Commit(ctx, t)
	s.opts.countTransaction(err)
	s.post(func(st *loopState, now time.Time) []Effect { return st.ledger.Committed(now, t.Operation, res, err) })
}
