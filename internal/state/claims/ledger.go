package claims

import (
	"container/heap"
	"time"
	"unicode/utf8"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Effect is something that the owner of a Ledger must do: an Answer or a Commit.
type Effect interface{ effect() }

// Answer is the verdict on an attempt; each Submit leads to exactly one.
type Answer struct {
	Attempt ids.Attempt
	Verdict Verdict
}

// Commit is a transaction to send; its answer goes to Ledger.Committed.
type Commit struct {
	Txn platform.Txn
}

func (Answer) effect() {}
func (Commit) effect() {}

// The events and actions of claim.yaml.
const (
	evSent        charts.Event = "sent"
	evApplied     charts.Event = "applied"
	evTaken       charts.Event = "taken"
	evNotApplied  charts.Event = "not-applied"
	evUnavailable charts.Event = "unavailable"
	evUnknown     charts.Event = "unknown"
	evExpire      charts.Event = "expire"
	evFinished    charts.Event = "finished"
	evNotStarted  charts.Event = "not-started"
	evLost        charts.Event = "lost"

	actStart         charts.Action = "start"
	actRefuse        charts.Action = "refuse"
	actQueue         charts.Action = "queue"
	actAnswerFromRow charts.Action = "answer-from-row"

	stateWaiting   charts.State = "waiting"
	stateAbandoned charts.State = "abandoned"
	stateRunning   charts.State = "running"
	stateStoring   charts.State = "storing"
	stateReleasing charts.State = "releasing"
	stateEnded     charts.State = "ended"
)

var chart = charts.MustLoad("claim")

// claim is one request on this slot.
type claim struct {
	req     Request
	rowKey  string
	machine charts.Machine
	// row is what the table holds or is to hold; version is that of the table's row, 0 before it was written.
	row     *cardamomyokev1.Claim
	version uint64
	// due is when a queued write may be sent without claims to share a transaction with.
	due time.Time
	// found is the table's row that ended the claim, if another attempt holds it.
	found platform.Row
	// code is the refusal that actRefuse gives.
	code failure.Code
}

// Ledger decides over the claims of one slot process. It is not safe for concurrent use.
type Ledger struct {
	opts Options
	// byAttempt and byRow hold the claims that have not ended.
	byAttempt map[ids.Attempt]*claim
	byRow     map[string]*claim
	// urgent are claims that callers wait for; lazy are outcomes and releases.
	urgent, lazy []*claim
	batches      map[ids.Operation]*batch
	order        []ids.Operation
	lastSent     time.Time
	// past holds what a late copy of an answered attempt gets, until the attempt's deadline has passed for every clock.
	past    map[ids.Attempt]pastAttempt
	pruneAt time.Time
	// deadlines holds each claim once; those that no longer expire are dropped when they come up.
	deadlines byDeadline
	effects   []Effect
}

type pastAttempt struct {
	code  failure.Code
	until time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(opts Options) *Ledger {
	return &Ledger{
		opts:      opts,
		byAttempt: map[ids.Attempt]*claim{},
		byRow:     map[string]*claim{},
		batches:   map[ids.Operation]*batch{},
		past:      map[ids.Attempt]pastAttempt{},
	}
}

// Submit takes in an attempt.
func (l *Ledger) Submit(now time.Time, r Request) []Effect {
	if v, answered := l.judgeArrival(now, r); answered {
		l.answer(r, v)
		return l.flush(now)
	}
	c := &claim{
		req:     r,
		rowKey:  RowKey(r.Client, r.Key),
		machine: chart.Start(),
		row:     newRow(r, l.opts.Incarnation, l.opts.Margin),
	}
	l.byAttempt[r.Attempt] = c
	l.byRow[c.rowKey] = c
	l.urgent = append(l.urgent, c)
	heap.Push(&l.deadlines, c)
	return l.flush(now)
}

// judgeArrival answers an attempt that needs no claim of its own.
func (l *Ledger) judgeArrival(now time.Time, r Request) (Verdict, bool) {
	if !utf8.ValidString(string(r.Client) + string(r.Service) + string(r.Attempt.Entry)) {
		return refusal(failure.CodeMalformed, nil), true
	}
	if other := l.byRow[RowKey(r.Client, r.Key)]; other != nil && other.req.Attempt == r.Attempt {
		return l.judgeLive(r, other), true
	}
	if old, ok := l.past[r.Attempt]; ok {
		return refusal(old.code, nil), true
	}
	if !now.Before(r.Deadline.Add(l.opts.Margin)) {
		// Too late to remember whether this is a copy of an attempt that ran, so nothing is promised.
		return refusal(failure.CodeDeadlinePassed, nil), true
	}
	if other := l.byRow[RowKey(r.Client, r.Key)]; other != nil {
		return l.judgeLive(r, other), true
	}
	if !now.Before(r.Deadline) {
		return refusal(failure.CodeDeadlineUnmet, nil), true
	}
	if l.cutOff() {
		return refusal(failure.CodeStoreUnavailable, nil), true
	}
	if len(l.byAttempt) >= l.opts.MaxLive {
		return refusal(failure.CodeOverloaded, nil), true
	}
	return Verdict{}, false
}

// cutOff reports whether every transaction that may be in flight has lost its answer, so that a new claim would
// only wait for its deadline.
func (l *Ledger) cutOff() bool {
	if len(l.batches) < l.opts.MaxInFlight {
		return false
	}
	for _, b := range l.batches {
		if !b.unknown {
			return false
		}
	}
	return true
}

// judgeLive answers r from another claim of this process on the same key.
func (l *Ledger) judgeLive(r Request, other *claim) Verdict {
	if r.Service != other.req.Service || r.BodyHash != other.req.BodyHash {
		return refusal(failure.CodeKeyReused, nil)
	}
	switch other.machine.State() {
	case stateAbandoned, stateReleasing:
		// Not started and never to be, but the row is not free yet.
		return refusal(failure.CodeStoreUnavailable, nil)
	case stateStoring:
		if other.row.GetState() == cardamomyokev1.ClaimState_CLAIM_STATE_UNKNOWN {
			return refusal(failure.CodeOutcomeUnknown, nil)
		}
		return replay(other.row.GetOutcome())
	}
	return refusal(failure.CodeRunning, nil)
}

// Cancel tells that the caller of an attempt has gone. An attempt that has not been answered is refused and never
// starts; to an attempt that was answered it does nothing.
func (l *Ledger) Cancel(now time.Time, a ids.Attempt) []Effect {
	if c := l.byAttempt[a]; c != nil {
		l.expire(c, failure.CodeCancelled)
	}
	return l.flush(now)
}

// Finished tells that the upstream answered a started attempt.
func (l *Ledger) Finished(now time.Time, a ids.Attempt, o Outcome) []Effect {
	c := l.byAttempt[a]
	if c == nil || c.machine.State() != stateRunning {
		return l.flush(now)
	}
	c.row.State = cardamomyokev1.ClaimState_CLAIM_STATE_DONE
	c.row.Outcome = &cardamomyokev1.ClaimOutcome{
		Status:      uint32(o.Status),
		ContentType: o.ContentType,
		Body:        o.Body,
	}
	if len(o.Body) > l.opts.MaxOutcomeBytes {
		c.row.Outcome = &cardamomyokev1.ClaimOutcome{Status: uint32(o.Status), TooLarge: true}
	}
	l.fire(now, c, evFinished)
	return l.flush(now)
}

// Lost tells that a started attempt may have run but has no answer, for example because the upstream died.
func (l *Ledger) Lost(now time.Time, a ids.Attempt) []Effect {
	c := l.byAttempt[a]
	if c == nil || c.machine.State() != stateRunning {
		return l.flush(now)
	}
	c.row.State = cardamomyokev1.ClaimState_CLAIM_STATE_UNKNOWN
	l.fire(now, c, evLost)
	return l.flush(now)
}

// NotStarted tells that a started attempt provably did not reach the upstream; its row is deleted.
func (l *Ledger) NotStarted(now time.Time, a ids.Attempt) []Effect {
	c := l.byAttempt[a]
	if c == nil || c.machine.State() != stateRunning {
		return l.flush(now)
	}
	l.remember(c.req, failure.CodeNoUpstream)
	l.fire(now, c, evNotStarted)
	return l.flush(now)
}

// Live returns how many claims have not ended; a slot may exit once it is zero.
func (l *Ledger) Live() int { return len(l.byAttempt) }

// expire refuses a claim that nobody waits for any more, unless it has been answered.
func (l *Ledger) expire(c *claim, code failure.Code) {
	c.code = code
	l.fire(time.Time{}, c, evExpire)
}

// fire moves a claim along its chart and carries out the actions.
func (l *Ledger) fire(now time.Time, c *claim, ev charts.Event) {
	actions, err := c.machine.Fire(ev)
	if err != nil {
		panic(err) // Every event of this package is declared in the chart; a test fires each in each state.
	}
	for _, a := range actions {
		l.do(now, c, a)
	}
	if c.machine.State() == stateEnded {
		l.forget(c)
	}
}

func (l *Ledger) do(now time.Time, c *claim, a charts.Action) {
	switch a {
	case actStart:
		l.answer(c.req, Verdict{Start: true})
	case actRefuse:
		l.answer(c.req, refusal(c.code, nil))
	case actQueue:
		l.queue(now, c)
	case actAnswerFromRow:
		l.answer(c.req, judge(now, c.req, c.found, l.opts.Margin))
	}
}

func (l *Ledger) queue(now time.Time, c *claim) {
	if c.machine.State() == stateWaiting {
		l.urgent = append(l.urgent, c)
		return
	}
	c.due = now.Add(l.opts.OutcomeDelay)
	l.lazy = append(l.lazy, c)
}

func (l *Ledger) answer(r Request, v Verdict) {
	if v.Start {
		l.remember(r, failure.CodeOutcomeUnknown)
	}
	if v.Refusal != nil && v.Refusal.Code.Meaning().NotRun {
		l.remember(r, v.Refusal.Code)
	}
	l.effects = append(l.effects, Answer{r.Attempt, v})
}

// remember keeps what a copy of an attempt gets that arrives late. Without it the copy of a refused attempt could
// start, or that of a started one be refused as past its deadline: either way "not run" would have been false.
func (l *Ledger) remember(r Request, code failure.Code) {
	l.past[r.Attempt] = pastAttempt{code: code, until: r.Deadline.Add(l.opts.Margin)}
}

func (l *Ledger) forget(c *claim) {
	delete(l.byAttempt, c.req.Attempt)
	if l.byRow[c.rowKey] == c {
		delete(l.byRow, c.rowKey)
	}
}
