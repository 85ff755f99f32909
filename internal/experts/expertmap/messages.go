package expertmap

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Reason says why a slot refused a proposal or could not stage a map.
type Reason string

// The reasons of refusals.
const (
	ReasonNone      Reason = ""
	ReasonNotStaged Reason = "weights-not-staged"
	ReasonBusy      Reason = "holds-another-proposal"
	ReasonOtherMap  Reason = "runs-another-map"
	ReasonRoster    Reason = "roster-names-another-incarnation"
	ReasonPassed    Reason = "step-passed"
	ReasonAhead     Reason = "last-switch-still-ahead"
	ReasonFenced    Reason = "older-fencing-number"
	// ReasonRefused: the slot refused this proposal or has seen it aborted, and keeps to that.
	ReasonRefused Reason = "refused-before"
	// ReasonWeights: the engine could not load the weights.
	ReasonWeights Reason = "weights-failed"
	// ReasonAborted: a restarted slot says that its older incarnation's proposal came to nothing.
	ReasonAborted Reason = "aborted-by-restart"
	// ReasonTime: the time allowed for it ran out.
	ReasonTime Reason = "time-ran-out"
	// ReasonStopped: the proposer lost its lease or was told to stop.
	ReasonStopped Reason = "stopped"
	// ReasonAttempts: too many proposals were refused.
	ReasonAttempts Reason = "attempts-used-up"
)

// StageRequest (proposer to slot) asks for the weights of a map and for the rank's state.
type StageRequest struct {
	Ballot Ballot
	Map    MapID
	// Round is echoed, so that a late reply is not taken for one to a newer round.
	Round uint64
}

// StageReply (slot to proposer) answers a StageRequest.
type StageReply struct {
	Ballot      Ballot
	Round       uint64
	Rank        Rank
	Incarnation Incarnation
	// Ready says that the weights are loaded.
	Ready bool
	// Reason is set if the weights cannot be loaded now.
	Reason  Reason
	Current MapID
	// Since is the first step of Current.
	Since    Step
	Next     Step
	StepTime time.Duration
}

// CapRequest (anyone to slot) asks the slot to keep its rank from running the proposal's first step under the old map.
type CapRequest struct{ Proposal Proposal }

// Ack (slot to whoever asked) says that the rank runs no step from the proposal's first on under the old map.
type Ack struct {
	Ballot      Ballot
	Rank        Rank
	Incarnation Incarnation
}

// Refusal (slot to whoever asked, passed on by anyone) says that this incarnation has not acknowledged the proposal
// and never will. If the roster names the incarnation, that is the proof that the proposal is aborted.
type Refusal struct {
	Ballot      Ballot
	Rank        Rank
	Incarnation Incarnation
	Reason      Reason
	// Next is the rank's first step not started.
	Next Step
	// Fence is the highest fencing number that the slot has met.
	Fence ids.Fence
}

// Certificate (anyone to slot) is the proof that every incarnation of the roster acknowledged.
type Certificate struct {
	Ballot Ballot
	// Acks holds, by rank, the incarnation that acknowledged.
	Acks []Incarnation
}

// Outcome (slot to anyone) says how a proposal ended: committed only if the slot's own engine has switched.
type Outcome struct {
	Ballot      Ballot
	Committed   bool
	Rank        Rank
	Incarnation Incarnation
}

// Recover (restarted slot to each peer) asks what the peer knows. The peer that answers promises to take part in
// nothing that names an older incarnation of the asker.
type Recover struct {
	Rank        Rank
	Incarnation Incarnation
}

// Answer (slot to restarted slot) is the reply to Recover.
type Answer struct {
	Rank        Rank
	Incarnation Incarnation
	// Asker is the incarnation that asked.
	Asker Incarnation
	// Map and Start are those of the answering rank's engine.
	Map   MapID
	Start Step
}

// Superseded (slot to restarted slot) says that a later incarnation of the asker is known. If the asker is in truth
// the later one, since its host's clock stands behind, it takes a larger number and asks again.
type Superseded struct {
	Rank        Rank
	Incarnation Incarnation
	Known       Incarnation
}

func (StageRequest) message() {}
func (StageReply) message()   {}
func (CapRequest) message()   {}
func (Ack) message()          {}
func (Refusal) message()      {}
func (Certificate) message()  {}
func (Outcome) message()      {}
func (Recover) message()      {}
func (Answer) message()       {}
func (Superseded) message()   {}
