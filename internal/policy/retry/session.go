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
	// ActionRepeat: send the whole request again.
	ActionRepeat Action = "repeat"
	// ActionResume: ask another upstream to go on after the tokens that were delivered.
	ActionResume Action = "resume"
	// ActionGiveUp: answer the caller with the decision's error.
	ActionGiveUp Action = "give-up"
)

// Rules say what a service allows.
type Rules struct {
	// Repeatable: the request may run more than once.
	Repeatable bool
	// Resumable: the engine can go on with an answer after a given token.
	Resumable bool
	// MaxAttempts counts the first attempt too.
	MaxAttempts int
	// Pause is the wait before the second attempt; it doubles with each further one.
	Pause time.Duration
	// MinRun is the least time that an attempt needs; with less left before the deadline none is begun.
	MinRun time.Duration
}

// DefaultRules returns the rules for a service whose requests may or may not be repeated.
func DefaultRules(repeatable, resumable bool) Rules {
	return Rules{
		Repeatable: repeatable, Resumable: resumable, MaxAttempts: 3,
		Pause: 5 * time.Millisecond, MinRun: 20 * time.Millisecond,
	}
}

// Attempt is how one attempt failed.
type Attempt struct {
	// Upstream is where it was sent; empty if none was chosen.
	Upstream ids.Upstream
	// Err is what happened. If it is a *failure.Error of a "not run" code, its Proof is what the decision rests on.
	Err error
}

// Decision is what to do now.
type Decision struct {
	Action Action
	// After is how long to wait first.
	After time.Duration
	// Exclude names the upstreams not to use again for this request.
	Exclude []ids.Upstream
	// From is the number of tokens already delivered, where ActionResume goes on.
	From int
	// Err is what the caller gets with ActionGiveUp.
	Err *failure.Error
}

// ExhaustedError says why a request was not tried again; Cause is the last attempt's failure.
type ExhaustedError struct {
	Reason   string
	Attempts int
	Cause    error
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("given up after %d attempts, %s: %v", e.Attempts, e.Reason, e.Cause)
}

// Unwrap returns the last attempt's failure.
func (e *ExhaustedError) Unwrap() error { return e.Cause }

// Session follows one request over its attempts. It belongs to the goroutine that owns the request.
type Session struct {
	rules    Rules
	budget   *Budget
	deadline time.Time
	attempts int
	exclude  []ids.Upstream
	mayRun   bool
}

// NewSession begins a request with its first attempt, which fills the budget.
func NewSession(rules Rules, budget *Budget, deadline time.Time) *Session {
	budget.First()
	return &Session{rules: rules, budget: budget, deadline: deadline, attempts: 1}
}

// Attempts returns how many attempts were begun.
func (s *Session) Attempts() int { return s.attempts }

// Failed decides what follows an attempt that failed after the given number of tokens of the whole answer had been
// delivered to the caller.
func (s *Session) Failed(a Attempt, delivered int, now time.Time) Decision {
	f := failure.From(a.Err)
	notRun := f.Code.Meaning().NotRun && f.Proof != failure.ProofNone
	if !notRun {
		s.mayRun = true
	}
	if a.Upstream != "" && !slices.Contains(s.exclude, a.Upstream) {
		s.exclude = append(s.exclude, a.Upstream)
	}
	if reason := s.forbidden(f, notRun, delivered); reason != "" {
		return s.giveUp(f, delivered, reason, now)
	}
	pause := s.rules.Pause << (s.attempts - 1)
	if s.deadline.Sub(now) < pause+s.rules.MinRun {
		return s.giveUp(f, delivered, "no time is left", now)
	}
	if !s.budget.Allow() {
		return s.giveUp(f, delivered, "the retry budget is used up", now)
	}
	s.attempts++
	d := Decision{Action: ActionRepeat, After: pause, Exclude: slices.Clone(s.exclude)}
	if delivered > 0 {
		d.Action, d.From = ActionResume, delivered
	}
	return d
}

// forbidden returns why the attempt must not be repeated, or nothing.
func (s *Session) forbidden(f *failure.Error, notRun bool, delivered int) string {
	switch {
	case s.attempts >= s.rules.MaxAttempts:
		return "no attempt is left"
	case !f.Code.Meaning().Resend:
		return "another attempt would fail the same way"
	case !s.rules.Repeatable && !notRun:
		return "it may have run and must not be repeated"
	case delivered > 0 && !s.rules.Resumable:
		return "a part was delivered and cannot be resumed"
	}
	return ""
}

// giveUp chooses what the caller is told. "Not run" is said only if that is proved for every attempt.
func (s *Session) giveUp(f *failure.Error, delivered int, reason string, now time.Time) Decision {
	cause := &ExhaustedError{Reason: reason, Attempts: s.attempts, Cause: f}
	if !s.mayRun {
		e := *f
		e.Cause = cause
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
