package retry

import (
	"fmt"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Action is what follows a failed attempt.
type Action string

// The actions.
const (
	// ActionRepeat sends the complete request again.
	ActionRepeat Action = "repeat"
	// ActionResume asks another upstream to continue after the delivered tokens.
	ActionResume Action = "resume"
	// ActionGiveUp returns the decision's error to the caller.
	ActionGiveUp Action = "give-up"
)

// Rules configures the retries of a service.
type Rules struct {
	// Repeatable is set if requests may run more than once.
	Repeatable bool
	// Resumable is set if the engine can continue a response after a given token.
	Resumable bool
	// MaxAttempts includes the first attempt.
	MaxAttempts int
	// Backoff is the delay before the second attempt; it doubles with each further one.
	Backoff time.Duration
	// MinRun is the minimum time that an attempt needs. No attempt is started with less time left before the deadline.
	MinRun time.Duration
}

// DefaultRules returns the rules for a service with or without repeatable and resumable requests.
func DefaultRules(repeatable, resumable bool) Rules {
	return Rules{
		Repeatable: repeatable, Resumable: resumable, MaxAttempts: 3,
		Backoff: 5 * time.Millisecond, MinRun: 20 * time.Millisecond,
	}
}

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	// Upstream is the upstream that the attempt was sent to; empty if none was chosen.
	Upstream ids.Upstream
	// Err is the failure. The decision depends on the Proof of a *failure.Error with a "not run" code.
	Err error
}

// Decision is the result of Session.Failed.
type Decision struct {
	Action Action
	// After is the delay before the action.
	After time.Duration
	// Exclude lists the upstreams that must not be used again for this request.
	Exclude []ids.Upstream
	// From is the number of tokens already delivered, after which ActionResume continues.
	From int
	// Err is the error for the caller with ActionGiveUp.
	Err *failure.Error
}

// ExhaustedError describes why a request was not tried again; Cause is the failure of the last attempt.
type ExhaustedError struct {
	Reason   string
	Attempts int
	Cause    error
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("given up after %d attempts, %s: %v", e.Attempts, e.Reason, e.Cause)
}

// Unwrap returns the failure of the last attempt.
func (e *ExhaustedError) Unwrap() error { return e.Cause }

// Session tracks one request over its attempts. It is not safe for concurrent use; the goroutine of the request owns
// it.
type Session struct {
	rules    Rules
	budget   *Budget
	deadline time.Time
	attempts int
	exclude  []ids.Upstream
	// mayHaveRun is set once an attempt has failed without proof that it did not run.
	mayHaveRun bool
	// proof is the proof of the attempt that came closest to a run, of those that have one.
	proof failure.Proof
}

// proofOrder lists the proofs by how far the request may have got, the nearest first.
var proofOrder = []failure.Proof{failure.ProofNone, failure.ProofNeverSent, failure.ProofRefusedBeforeStart, failure.ProofFenced}

// NewSession starts a session with the first attempt of a request, which is recorded in the budget.
func NewSession(rules Rules, budget *Budget, deadline time.Time) *Session {
	budget.RecordFirst()
	return &Session{rules: rules, budget: budget, deadline: deadline, attempts: 1}
}

// Attempts returns the number of attempts that were started.
func (s *Session) Attempts() int { return s.attempts }

// Failed decides what follows a failed attempt. delivered is the number of tokens of the response, over all attempts,
// that the caller has received.
func (s *Session) Failed(a FailedAttempt, delivered int, now time.Time) Decision {
	f := failure.From(a.Err)
	notRun := f.Code.Meaning().NotRun && f.Proof != failure.ProofNone
	if !notRun {
		s.mayHaveRun = true
	}
	if slices.Index(proofOrder, f.Proof) > slices.Index(proofOrder, s.proof) {
		s.proof = f.Proof
	}
	if a.Upstream != "" && !slices.Contains(s.exclude, a.Upstream) {
		s.exclude = append(s.exclude, a.Upstream)
	}
	if reason := s.rejectReason(f, notRun, delivered); reason != "" {
		return s.giveUp(f, delivered, reason, now)
	}
	backoff := s.rules.Backoff << (s.attempts - 1)
	if s.deadline.Sub(now) < backoff+s.rules.MinRun {
		return s.giveUp(f, delivered, "no time is left", now)
	}
	if !s.budget.Allow() {
		return s.giveUp(f, delivered, "the retry budget is used up", now)
	}
	s.attempts++
	d := Decision{Action: ActionRepeat, After: backoff, Exclude: slices.Clone(s.exclude)}
	if delivered > 0 {
		d.Action, d.From = ActionResume, delivered
	}
	return d
}

// rejectReason returns why the attempt must not be repeated, or "".
func (s *Session) rejectReason(f *failure.Error, notRun bool, delivered int) string {
	switch {
	case s.attempts >= s.rules.MaxAttempts:
		return "no attempt is left"
	case !f.Code.Meaning().Resend:
		return "another attempt would fail the same way"
	case !s.rules.Repeatable && !notRun:
		return "it may have run and must not be repeated"
	case delivered > 0 && !s.rules.Resumable:
		return "a part of the response was delivered and cannot be resumed"
	}
	return ""
}

// giveUp chooses the error for the caller. "Not run" is reported only if that is proved for every attempt.
func (s *Session) giveUp(f *failure.Error, delivered int, reason string, now time.Time) Decision {
	cause := &ExhaustedError{Reason: reason, Attempts: s.attempts, Cause: f}
	if !s.mayHaveRun {
		e := *f
		e.Cause, e.Proof = cause, s.proof
		return Decision{Action: ActionGiveUp, Err: &e}
	}
	return Decision{Action: ActionGiveUp, Err: failure.New(s.codeAfterRun(f, delivered, now), cause)}
}

func (s *Session) codeAfterRun(f *failure.Error, delivered int, now time.Time) failure.Code {
	switch {
	case !s.rules.Repeatable:
		return failure.CodeOutcomeUnknown
	case !now.Before(s.deadline):
		return failure.CodeDeadlinePassed
	case delivered > 0:
		return failure.CodeIncompleteAnswer
	case f.Code.Meaning().NotRun:
		return failure.CodeUpstreamFailed
	}
	return f.Code
}
