package dispatch

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Outcome is how a placed request ended, as far as it speaks for or against its upstream.
type Outcome int

const (
	// OutcomeNone says nothing: the caller left, or the deadline passed while the upstream worked.
	OutcomeNone Outcome = iota
	// OutcomeOK is a whole answer.
	OutcomeOK
	// OutcomeFailed is an answer that says that the upstream failed.
	OutcomeFailed
	// OutcomeBroken is a connection that could not be made or broke off.
	OutcomeBroken
	// OutcomeRefused is a refusal before the start.
	OutcomeRefused
	// OutcomeGone says that another life has the upstream's address.
	OutcomeGone
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

var outcomeNames = map[Outcome]string{
	OutcomeNone: "none", OutcomeOK: "ok", OutcomeFailed: "failed", OutcomeBroken: "broken", OutcomeRefused: "refused", OutcomeGone: "gone",
}

const (
	// brokenThreshold connections that break one after the other eject an upstream: one alone may be a lost answer.
	brokenThreshold = 2
	// refusedThreshold refusals eject an upstream that is full or failing, so that requests go elsewhere meanwhile.
	refusedThreshold = 2
	// refusedFor is how long a refusal keeps requests away; an engine's request ends every few tens of milliseconds.
	refusedFor = 100 * time.Millisecond
	// firstEjection doubles with each further one up to maxEjection: a restart takes seconds.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
)

// outlier follows one upstream's failures.
type outlier struct {
	consecutiveBroken, consecutiveRefused int
	ejections                             int
	until                                 time.Time
	gone                                  bool
}

// usable reports whether requests may go to the upstream.
func (o *outlier) usable(now time.Time) bool { return !o.gone && !now.Before(o.until) }

// chosen notes that a request is sent; after an ejection it is the probe, and others wait for its outcome a little.
func (o *outlier) chosen(now time.Time) {
	if o.consecutiveBroken >= brokenThreshold {
		o.until = now.Add(firstEjection)
	}
}

// note takes in an outcome and reports whether the upstream is ejected by it.
func (o *outlier) note(outcome Outcome, now time.Time) bool {
	switch outcome {
	case OutcomeOK, OutcomeFailed:
		*o = outlier{gone: o.gone}
	case OutcomeBroken:
		o.consecutiveBroken++
		if o.consecutiveBroken >= brokenThreshold {
			o.until = now.Add(min(maxEjection, firstEjection<<min(o.ejections, 8)))
			o.ejections++
			return true
		}
	case OutcomeRefused:
		o.consecutiveRefused++
		if o.consecutiveRefused >= refusedThreshold {
			o.until = now.Add(refusedFor)
			return true
		}
	case OutcomeGone:
		o.gone = true
		return true
	}
	return false
}

// Ejection says that requests are kept away from an upstream for some time.
type Ejection struct {
	Upstream ids.Upstream
	// Cause is the outcome of the last request there, Consecutive how many of its kind came one after the other.
	Cause       Outcome
	Consecutive int
	// For is how long requests are kept away; 0 for good.
	For time.Duration
}

func (t *target) ejection(cause Outcome, now time.Time) Ejection {
	e := Ejection{Upstream: t.up.ID, Cause: cause, Consecutive: 1}
	switch cause {
	case OutcomeBroken:
		e.Consecutive = t.health.consecutiveBroken
	case OutcomeRefused:
		e.Consecutive = t.health.consecutiveRefused
	}
	if !t.health.gone {
		e.For = t.health.until.Sub(now)
	}
	return e
}

// spare lets requests go to ejected upstreams again if no other is left: a gateway that sees all upstreams fail is more
// likely to be at fault itself, and a request that is tried may succeed.
func (p *Pool) spare(now time.Time) {
	for _, t := range p.order {
		if t.usable(now) {
			return
		}
	}
	for _, t := range p.order {
		t.health.until = time.Time{}
	}
}
