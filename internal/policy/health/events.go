package health

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Reason is the fault for which an upstream is suspected.
type Reason string

// The reasons, from the worst to the mildest.
const (
	ReasonNone Reason = ""
	// ReasonSilent: neither a report nor any part of a response has arrived within SilentAfter.
	ReasonSilent Reason = "silent"
	// ReasonStalled: reports arrive, but the engine has work and takes no step.
	ReasonStalled Reason = "stalled"
	// ReasonFailing: consecutive attempts have failed.
	ReasonFailing Reason = "failing"
	// ReasonSlow: its steps take much longer than those of peers with at least as much work.
	ReasonSlow Reason = "slow"
)

var severity = map[Reason]int{ReasonNone: 0, ReasonSlow: 1, ReasonFailing: 2, ReasonStalled: 3, ReasonSilent: 4}

// Event is one of SlotReport, HostList, Responded, Failed and RefusedDraining.
type Event interface{ isEvent() }

// SlotReport is one report of a slot about its upstream.
type SlotReport struct {
	Upstream    ids.Upstream
	Service     ids.Service
	Incarnation ids.Incarnation
	// Draining is set if the slot reports that it is draining and accepts no new work.
	Draining bool
	// Steps is the number of steps that the engine has taken since it started.
	Steps uint64
	// Running is the number of requests in the engine.
	Running int
	// StepTime is the recent time per step; zero if there was no step.
	StepTime time.Duration
}

// HostList is a complete host list.
type HostList struct {
	// TakenAt is the time at which the list was made, according to the list.
	TakenAt time.Time
	Hosts   []ListedHost
}

// ListedHost is one upstream in the host list.
type ListedHost struct {
	Upstream ids.Upstream
	Service  ids.Service
	Draining bool
}

// Responded reports that an attempt received part or all of its response.
type Responded struct{ Upstream ids.Upstream }

// Failed reports an attempt that failed by a fault of the upstream: the connection was refused or broken, or no
// response came in time. A request that the slot refused does not count.
type Failed struct{ Upstream ids.Upstream }

// RefusedDraining reports that the slot refused an attempt before its start because it is draining. It has the same
// effect as a report with Draining set, in case that report was lost.
type RefusedDraining struct {
	Upstream    ids.Upstream
	Incarnation ids.Incarnation
}

func (SlotReport) isEvent()      {}
func (HostList) isEvent()        {}
func (Responded) isEvent()       {}
func (Failed) isEvent()          {}
func (RefusedDraining) isEvent() {}
