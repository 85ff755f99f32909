package expertmap

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Rank is the number of a group member, counted from 0.
type Rank uint32

// Step is the number of a step of the group; all ranks use the same numbering.
type Step uint64

// NoLimit is the limit of an engine that may run every step.
const NoLimit Step = math.MaxUint64

// Incarnation identifies one run of a rank's slot. A later incarnation has a larger number unless the host's clock
// was set back; Superseded handles that case. It is separate from ids.Incarnation, which identifies the process; this
// one also changes when the engine restarts.
type Incarnation uint64

// MapID identifies an expert map. The zero value means no map; an engine without a map runs no step.
type MapID struct {
	// Version grows by one with each switch of the group.
	Version uint64
	// Name is the name of the map's object in the platform's object store.
	Name string
}

// IsZero reports whether m is the zero value, no map.
func (m MapID) IsZero() bool { return m == MapID{} }

// String formats the map as VERSION:NAME.
func (m MapID) String() string { return fmt.Sprintf("%d:%s", m.Version, m.Name) }

// Ballot identifies a proposal. No two proposals share a ballot, because Proposer is generated at random each time a
// proposer's process starts.
type Ballot struct {
	Fence    ids.Fence
	Proposer uint64
	Seq      uint64
}

// IsZero reports whether b is the zero value, no proposal.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Compare orders ballots by fencing token, then proposer, then sequence number.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Fence, o.Fence), cmp.Compare(b.Proposer, o.Proposer), cmp.Compare(b.Seq, o.Seq))
}

// String formats the ballot as FENCE/PROPOSER/SEQUENCE.
func (b Ballot) String() string { return fmt.Sprintf("%d/%x/%d", b.Fence, b.Proposer, b.Seq) }

// Proposal is a request to a group to run step Start and all later steps under map To instead of From.
type Proposal struct {
	Ballot Ballot
	From   MapID
	To     MapID
	Start  Step
	// Incarnations holds, by rank, the slot incarnations that the proposal addresses.
	Incarnations []Incarnation
}

// Addr is the source or destination of a message: a proposer if Proposer is set, otherwise the slot of a rank.
type Addr struct {
	Proposer ids.Node
	Rank     Rank
}

// IsProposer reports whether a is the address of a proposer.
func (a Addr) IsProposer() bool { return a.Proposer != "" }

// Message is one of the types in messages.go.
type Message interface{ message() }

// EngineReport is the state of a rank's engine, read after it has executed or refused the order with the number
// Order.
type EngineReport struct {
	// Order is the number of the last order from this slot that the engine has executed or refused; 0 for none.
	Order uint64
	// Map is in force from step Start on, which may not have begun yet.
	Map   MapID
	Start Step
	// Limit is the first step that the engine must not run; NoLimit if there is none.
	Limit Step
	// Next is the first step that the engine has not started.
	Next Step
	// StepTime is the duration of a recent step.
	StepTime time.Duration
	// Staged is the map whose weights are loaded in addition to those in use; zero if there is none.
	Staged MapID
	// Failed is the map whose weights could not be loaded; zero if there is none.
	Failed MapID
}

// OrderKind is the action that an order requests.
type OrderKind string

// The orders to an engine. Each names the map that the engine must have, so that an engine that ignores fencing
// tokens still refuses an order meant for another state.
const (
	// OrderStage loads the weights of To in addition to those in use.
	OrderStage OrderKind = "stage"
	// OrderLimit forbids step Step and all later steps. The engine refuses it if step Step has started.
	OrderLimit OrderKind = "limit"
	// OrderLift removes the limit if the limit equals Step.
	OrderLift OrderKind = "lift"
	// OrderSwitch removes the limit and runs Step and all later steps under To. The engine refuses it if step Step
	// has started.
	OrderSwitch OrderKind = "switch"
)

// Effect is an output of a state machine: Send, Order, Alarm or Result.
type Effect interface{ effect() }

// Send passes a message to the transport, which may lose, duplicate, delay or reorder it.
type Send struct {
	To      Addr
	Message Message
}

// Order is an order to the rank's own engine. Orders are executed one at a time, in the sequence in which they are
// issued.
type Order struct {
	ID   uint64
	Kind OrderKind
	// Map is the engine's map according to its last report to the slot.
	Map  MapID
	Step Step
	To   MapID
}

// Alarm reports to the operators a state that the protocol excludes.
type Alarm struct{ Err error }

// Result reports the outcome of a switch to the owner of a proposer.
type Result struct {
	To MapID
	// Start is the map's first step if Err is nil.
	Start Step
	// Err is nil if the map is committed: either every rank has switched, or the slots will complete the switch on
	// their own. Otherwise it is a *FailedError.
	Err error
	// Attempts is the number of proposals made.
	Attempts int
}

func (Send) effect()   {}
func (Order) effect()  {}
func (Alarm) effect()  {}
func (Result) effect() {}
