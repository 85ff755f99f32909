package claims

import (
	"container/heap"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Effect is an action that the caller of a Ledger must execute: a DeliverVerdict or a Commit.
type Effect interface{ effect() }

// DeliverVerdict delivers the verdict on an attempt. Each Submit results in exactly one of these.
type DeliverVerdict struct {
	Attempt ids.Attempt
	Verdict Verdict
}

// Commit requests that a transaction be sent to the table. The table's response goes to Ledger.Committed.
type Commit struct {
	Txn platform.Txn
}

func (DeliverVerdict) effect() {}
func (Commit) effect()         {}

// The events, actions and states of claim.yaml.
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

// claim is the claim of one attempt on this slot.
type claim struct {
	req     Request
	rowKey  string
	machine charts.Machine
	// row is the content of the table's row, or the content to be written; version is the version of the table's row, 0
	// before it was written.
	row     *cardamomyokev1.Claim
	version uint64
	// due is the time from which a queued outcome or release is sent even without claims to share a transaction with.
	due time.Time
	// conflictRow is the existing row of the table that decided the claim, if the row was taken.
	conflictRow platform.Row
	// code is the code of the refusal that actRefuse returns.
	code failure.Code
}

// Ledger decides on the claims of one slot process. It is not safe for concurrent use.
type Ledger struct {
	opts Options
	// byAttempt and byRow hold the claims that have not ended.
	byAttempt map[ids.Attempt]*claim
	byRow     map[string]*claim
	// urgent queues the claims for which callers wait; lazy queues outcomes and releases.
	urgent, lazy []*claim
	batches      map[ids.Operation]*batch
	sendOrder    []ids.Operation
	lastSent     time.Time
	// decided holds the refusal code for delayed duplicates of decided attempts, until the attempt's deadline has
	// passed on every host's clock.
	decided map[ids.Attempt]decidedAttempt
	pruneAt time.Time
	// deadlines holds each claim once. Claims that can no longer expire are dropped when they reach the root.
	deadlines byDeadline
	effects   []Effect
}

type decidedAttempt struct {
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
		decided:   map[ids.Attempt]decidedAttempt{},
	}
}

// Submit processes a new attempt, or a duplicate of an earlier one.
func (l *Ledger) Submit(now time.Time, r Request) []Effect {
	if v, done := l.immediateVerdict(now, r); done {
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

// immediateVerdict returns the verdict on an attempt that can be decided without a claim, and false if the attempt
// needs one.
func (l *Ledger) immediateVerdict(now time.Time, r Request) (Verdict, bool) {
	if !utf8.ValidString(string(r.Client) + string(r.Service) + string(r.Attempt.Entry)) {
		return refusal(failure.CodeMalformed, nil), true
	}
	if other := l.byRow[RowKey(r.Client, r.Key)]; other != nil && other.req.Attempt == r.Attempt {
		return l.verdictFromLive(r, other), true
	}
	if old, ok := l.decided[r.Attempt]; ok {
		return refusal(old.code, nil), true
	}
	if !now.Before(r.Deadline.Add(l.opts.Margin)) {
		// The attempt may be a duplicate of one that ran and has been pruned, so it cannot be refused as not run.
		return refusal(failure.CodeDeadlinePassed, nil), true
	}
	if other := l.byRow[RowKey(r.Client, r.Key)]; other != nil {
		return l.verdictFromLive(r, other), true
	}
	if !now.Before(r.Deadline) {
		return refusal(failure.CodeDeadlineUnmet, nil), true
	}
	if l.allOutcomesUnknown() {
		return refusal(failure.CodeStoreUnavailable, nil), true
	}
	if len(l.byAttempt) >= l.opts.MaxLive {
		return refusal(failure.CodeOverloaded, nil), true
	}
	return Verdict{}, false
}

// allOutcomesUnknown reports whether MaxInFlight transactions are in flight and all have lost a response. A new claim
// would then only wait for its deadline.
func (l *Ledger) allOutcomesUnknown() bool {
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

// verdictFromLive returns the verdict on r from a claim of this process on the same key.
func (l *Ledger) verdictFromLive(r Request, other *claim) Verdict {
	if r.Service != other.req.Service || r.BodyHash != other.req.BodyHash {
		return refusal(failure.CodeKeyReused, nil)
	}
	switch other.machine.State() {
	case stateAbandoned, stateReleasing:
		// The other attempt never starts, but its row is not deleted yet.
		return refusal(failure.CodeStoreUnavailable, nil)
	case stateStoring:
		if other.row.GetState() == cardamomyokev1.ClaimState_CLAIM_STATE_UNKNOWN {
			return refusal(failure.CodeOutcomeUnknown, nil)
		}
		return replay(other.row.GetOutcome())
	}
	return refusal(failure.CodeRunning, nil)
}

// Cancel processes the disconnect of an attempt's caller. An undecided attempt is refused and never starts; for a
// decided one Cancel has no effect.
func (l *Ledger) Cancel(now time.Time, a ids.Attempt) []Effect {
	if c := l.byAttempt[a]; c != nil {
		l.refuseUndecided(c, failure.CodeCancelled)
	}
	return l.flush(now)
}

// replacementCharacter stands for bytes of a Content-Type that are not UTF-8. Rows can hold only UTF-8, and upstreams may
// send any bytes.
const replacementCharacter = "\uFFFD"

// Finished records the upstream's response to a started attempt.
func (l *Ledger) Finished(now time.Time, a ids.Attempt, o Outcome) []Effect {
	c := l.byAttempt[a]
	if c == nil || c.machine.State() != stateRunning {
		return l.flush(now)
	}
	c.row.State = cardamomyokev1.ClaimState_CLAIM_STATE_DONE
	c.row.Outcome = storedOutcome(o, l.opts.MaxOutcomeBytes)
	l.fire(now, c, evFinished)
	return l.flush(now)
}

// storedOutcome returns the outcome as it is stored, without a body over maxBytes.
func storedOutcome(o Outcome, maxBytes int) *cardamomyokev1.ClaimOutcome {
	if len(o.Body) > maxBytes {
		return &cardamomyokev1.ClaimOutcome{Status: uint32(o.Status), TooLarge: true}
	}
	return &cardamomyokev1.ClaimOutcome{
		Status:      uint32(o.Status),
		ContentType: strings.ToValidUTF8(o.ContentType, replacementCharacter),
		Body:        o.Body,
		EndUnproven: o.EndUnproven,
	}
}

// Lost records that a started attempt may have run but has no response, for example because the upstream crashed.
func (l *Ledger) Lost(now time.Time, a ids.Attempt) []Effect {
	c := l.byAttempt[a]
	if c == nil || c.machine.State() != stateRunning {
		return l.flush(now)
	}
	c.row.State = cardamomyokev1.ClaimState_CLAIM_STATE_UNKNOWN
	l.fire(now, c, evLost)
	return l.flush(now)
}

// NotStarted records that a started attempt provably did not reach the upstream. Its row is deleted.
func (l *Ledger) NotStarted(now time.Time, a ids.Attempt) []Effect {
	c := l.byAttempt[a]
	if c == nil || c.machine.State() != stateRunning {
		return l.flush(now)
	}
	l.recordDecided(c.req, failure.CodeNoUpstream)
	l.fire(now, c, evNotStarted)
	return l.flush(now)
}

// Live returns the number of claims that have not ended. A slot may exit once it is zero.
func (l *Ledger) Live() int { return len(l.byAttempt) }

// refuseUndecided refuses a claim whose deadline has passed or whose caller disconnected, unless it is decided. The
// chart has one event, evExpire, for both cases.
func (l *Ledger) refuseUndecided(c *claim, code failure.Code) {
	c.code = code
	l.fire(time.Time{}, c, evExpire)
}

// fire applies an event to a claim's state machine and runs the resulting actions.
func (l *Ledger) fire(now time.Time, c *claim, ev charts.Event) {
	actions, err := c.machine.Fire(ev)
	if err != nil {
		panic(err) // The chart declares every event of this package; a test fires each event in each state.
	}
	for _, a := range actions {
		l.runAction(now, c, a)
	}
	if c.machine.State() == stateEnded {
		l.removeClaim(c)
	}
}

func (l *Ledger) runAction(now time.Time, c *claim, a charts.Action) {
	switch a {
	case actStart:
		l.answer(c.req, Verdict{Start: true})
	case actRefuse:
		l.answer(c.req, refusal(c.code, nil))
	case actQueue:
		l.queue(now, c)
	case actAnswerFromRow:
		l.answer(c.req, verdictFromRow(now, c.req, c.conflictRow, l.opts.Margin))
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
		l.recordDecided(r, failure.CodeOutcomeUnknown)
	}
	if v.Refusal != nil && v.Refusal.Code.Meaning().NotRun {
		l.recordDecided(r, v.Refusal.Code)
	}
	l.effects = append(l.effects, DeliverVerdict{r.Attempt, v})
}

// recordDecided stores the refusal code for delayed duplicates of an attempt. Without it a duplicate of a refused
// attempt could start, or a duplicate of a started attempt could be refused because of its deadline. In both cases the
// response "not run" would be false.
func (l *Ledger) recordDecided(r Request, code failure.Code) {
	l.decided[r.Attempt] = decidedAttempt{code: code, until: r.Deadline.Add(l.opts.Margin)}
}

func (l *Ledger) removeClaim(c *claim) {
	delete(l.byAttempt, c.req.Attempt)
	if l.byRow[c.rowKey] == c {
		delete(l.byRow, c.rowKey)
	}
}
