package health

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Reason says what makes an upstream suspect.
type Reason string

// The reasons, from the worst to the mildest.
const (
	ReasonNone Reason = ""
	// ReasonSilent: neither a report nor any part of an answer came.
	ReasonSilent Reason = "silent"
	// ReasonStalled: reports come, but the engine has work and takes no step.
	ReasonStalled Reason = "stalled"
	// ReasonFailing: attempts fail one after the other.
	ReasonFailing Reason = "failing"
	// ReasonSlow: its steps take much longer than those of peers with as much work.
	ReasonSlow Reason = "slow"
)

var severity = map[Reason]int{ReasonNone: 0, ReasonSlow: 1, ReasonFailing: 2, ReasonStalled: 3, ReasonSilent: 4}

// Event is one of Heard, Listed, Answered, Failed and RefusedLeaving.
type Event interface{ isEvent() }

// Heard is a report of a slot.
type Heard struct {
	Upstream    ids.Upstream
	Service     ids.Service
	Incarnation ids.Incarnation
	// Leaving is the slot's own word that it takes no new work.
	Leaving bool
	// Steps counts the engine's steps since it started.
	Steps uint64
	// Running is how many requests the engine has.
	Running int
	// StepTime is the recent time per step; zero if there was none.
	StepTime time.Duration
}

// Listed is a whole host list.
type Listed struct {
	// TakenAt is how old the list says it is, as a point in time.
	TakenAt time.Time
	Hosts   []ListedHost
}

// ListedHost is one upstream of the host list.
type ListedHost struct {
	Upstream ids.Upstream
	Service  ids.Service
	Leaving  bool
}

// Answered says that an attempt got a part of its answer or all of it.
type Answered struct{ Upstream ids.Upstream }

// Failed says that an attempt failed in a way that speaks against the upstream: connection refused or broken, or no
// answer in time. A refusal by the slot is none.
type Failed struct{ Upstream ids.Upstream }

// RefusedLeaving says that the slot refused an attempt before its start because it is leaving. It stands in for a
// report that was lost.
type RefusedLeaving struct {
	Upstream    ids.Upstream
	Incarnation ids.Incarnation
}

func (Heard) isEvent()          {}
func (Listed) isEvent()         {}
func (Answered) isEvent()       {}
func (Failed) isEvent()         {}
func (RefusedLeaving) isEvent() {}
