package expertmap

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Reason is the cause of a refused proposal, a failed load of weights or a failed switch.
type Reason string

// The reasons for refusals and failures.
const (
	ReasonNone             Reason = ""
	ReasonNotStaged        Reason = "weights-not-staged"
	ReasonBusy             Reason = "holds-another-proposal"
	ReasonOtherMap         Reason = "runs-another-map"
	ReasonOtherIncarnation Reason = "roster-names-another-incarnation"
	ReasonPassed           Reason = "step-passed"
	ReasonAhead            Reason = "last-switch-still-ahead"
	ReasonFenced           Reason = "older-fencing-number"
	// ReasonRefused: the slot has already refused this proposal or has seen it aborted, and does not change its vote.
	ReasonRefused Reason = "refused-before"
	// ReasonWeights: the engine could not load the weights.
	ReasonWeights Reason = "weights-failed"
	// ReasonAborted: a restarted slot reports that the proposal of its earlier incarnation was aborted.
	ReasonAborted Reason = "aborted-by-restart"
	// ReasonTime: the timeout expired.
	ReasonTime Reason = "time-ran-out"
	// ReasonStopped: the proposer lost its lease or was stopped.
	ReasonStopped Reason = "stopped"
	// ReasonAttempts: too many proposals were refused.
	ReasonAttempts Reason = "attempts-used-up"
)

// StageRequest (proposer to slot) requests that the slot load the weights of a map and report the rank's state.
type StageRequest struct {
	Ballot Ballot
	Map    MapID
	// Round is echoed in the reply, so that a late reply is not mistaken for one to a newer round.
	Round uint64
}

// StageReply (slot to proposer) is the reply to a StageRequest.
type StageReply struct {
	Ballot      Ballot
	Round       uint64
	Rank        Rank
	Incarnation Incarnation
	// Ready is set if the weights are loaded.
	Ready bool
	// Reason is set if the weights cannot be loaded or the request is refused.
	Reason  Reason
	Current MapID
	// Since is the first step under Current.
	Since    Step
	Next     Step
	StepTime time.Duration
}

// CapRequest (proposer or slot to slot) requests that the slot keep its rank from running the proposal's first step
// under the old map.
type CapRequest struct{ Proposal Proposal }

// Ack (slot to requester) confirms that the rank runs neither the proposal's first step nor any later one under the
// old map.
type Ack struct {
	Ballot      Ballot
	Rank        Rank
	Incarnation Incarnation
}

// Refusal (slot to requester, may be relayed by any node) states that this incarnation has not acknowledged the
// proposal and never will. If the proposal addresses the incarnation, the refusal proves that the proposal is aborted.
type Refusal struct {
	Ballot      Ballot
	Rank        Rank
	Incarnation Incarnation
	Reason      Reason
	// Next is the first step that the rank has not started.
	Next Step
	// Fence is the highest fencing token that the slot has seen.
	Fence ids.Fence
}

// Certificate (proposer or slot to slot) is the proof that every incarnation that the proposal addresses has
// acknowledged it.
type Certificate struct {
	Ballot Ballot
	// Acks holds, by rank, the incarnation that acknowledged.
	Acks []Incarnation
}

// Outcome (slot to requester) reports how a proposal ended. Committed is set only if the slot's own engine has
// switched.
type Outcome struct {
	Ballot      Ballot
	Committed   bool
	Rank        Rank
	Incarnation Incarnation
}

// Recover (restarted slot to each peer) requests the peer's state. By replying, the peer promises not to take part in
// any proposal that addresses an older incarnation of the sender.
type Recover struct {
	Rank        Rank
	Incarnation Incarnation
}

// RecoverReply (slot to restarted slot) is the reply to a Recover.
type RecoverReply struct {
	Rank        Rank
	Incarnation Incarnation
	// Requester is the incarnation that sent the Recover.
	Requester Incarnation
	// Map and Start are the newest map that the replying slot has seen, on its own engine or in its peers' replies,
	// and that map's first step.
	Map   MapID
	Start Step
}

// Superseded (slot to restarted slot) reports that the peer has already seen a later incarnation of the sender. If
// the sender is in fact the newer one, because its host's clock was set back, it chooses a larger number and sends
// Recover again.
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
func (RecoverReply) message() {}
func (Superseded) message()   {}
