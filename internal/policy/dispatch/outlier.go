package dispatch

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Outcome is the result of a placed request, as far as it is evidence for or against its upstream.
type Outcome int

const (
	// OutcomeNone is no evidence: the caller disconnected, or the deadline passed while the upstream worked.
	OutcomeNone Outcome = iota
	// OutcomeOK is a complete response.
	OutcomeOK
	// OutcomeFailed is a response that reports a failure of the upstream.
	OutcomeFailed
	// OutcomeBroken is a connection that could not be established or that broke.
	OutcomeBroken
	// OutcomeRefused is a refusal before the request was started.
	OutcomeRefused
	// OutcomeReplaced means that another incarnation has the upstream's address.
	OutcomeReplaced
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return outcomeNames[o]
}

var outcomeNames = map[Outcome]string{
	OutcomeNone: "none", OutcomeOK: "ok", OutcomeFailed: "failed", OutcomeBroken: "broken", OutcomeRefused: "refused", OutcomeReplaced: "gone",
}

const (
	// brokenThreshold is the number of consecutive broken connections that ejects an upstream; a single one may be just
	// a lost response.
	brokenThreshold = 2
	// refusedThreshold is the number of consecutive refusals that ejects an upstream. An upstream that refuses is full
	// or failing, so requests go to others for a while.
	refusedThreshold = 2
	// refusedFor is how long refusals eject an upstream. A full engine finishes a request every few tens of
	// milliseconds.
	refusedFor = 100 * time.Millisecond
	// firstEjection is the first ejection after broken connections. Each further one lasts twice as long, up to
	// maxEjection; a restart takes seconds.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
)

// ejectionState holds the recent failures of one upstream, and the time until which they eject it.
type ejectionState struct {
	consecutiveBroken, consecutiveRefused int
	ejections                             int
	ejectedUntil                          time.Time
	replaced                              bool
}

// usable reports whether the upstream is neither ejected nor replaced.
func (o *ejectionState) usable(now time.Time) bool { return !o.replaced && !now.Before(o.ejectedUntil) }

// recordChoice records that the upstream was chosen for a request. The first request after an ejection is a probe: the
// upstream stays ejected for other requests until the outcome is known, or for firstEjection.
func (o *ejectionState) recordChoice(now time.Time) {
	if o.consecutiveBroken >= brokenThreshold {
		o.ejectedUntil = now.Add(firstEjection)
	}
}

// recordOutcome records an outcome and reports whether it ejects the upstream.
func (o *ejectionState) recordOutcome(outcome Outcome, now time.Time) bool {
	switch outcome {
	case OutcomeOK, OutcomeFailed:
		*o = ejectionState{replaced: o.replaced}
	case OutcomeBroken:
		o.consecutiveBroken++
		if o.consecutiveBroken >= brokenThreshold {
			o.ejectedUntil = now.Add(min(maxEjection, firstEjection<<min(o.ejections, 8)))
			o.ejections++
			return true
		}
	case OutcomeRefused:
		o.consecutiveRefused++
		if o.consecutiveRefused >= refusedThreshold {
			o.ejectedUntil = now.Add(refusedFor)
			return true
		}
	case OutcomeReplaced:
		o.replaced = true
		return true
	}
	return false
}

// Ejection reports that an upstream gets no requests for some time.
type Ejection struct {
	Upstream ids.Upstream
	// Cause is the outcome of the last request, Consecutive the number of consecutive outcomes of that kind.
	Cause       Outcome
	Consecutive int
	// Length is the duration of the ejection; 0 means permanently.
	Length time.Duration
}

func (u *upstreamState) ejection(cause Outcome, now time.Time) Ejection {
	e := Ejection{Upstream: u.listed.ID, Cause: cause, Consecutive: 1}
	switch cause {
	case OutcomeBroken:
		e.Consecutive = u.health.consecutiveBroken
	case OutcomeRefused:
		e.Consecutive = u.health.consecutiveRefused
	}
	if !u.health.replaced {
		e.Length = u.health.ejectedUntil.Sub(now)
	}
	return e
}

// readmitIfNoneUsable ends all ejections if no upstream is usable. A gateway that sees every upstream fail is probably
// at fault itself, and a request that is sent anyway may succeed.
func (p *Pool) readmitIfNoneUsable(now time.Time) {
	for _, u := range p.order {
		if u.usable(now) {
			return
		}
	}
	for _, u := range p.order {
		u.health.ejectedUntil = time.Time{}
	}
}
