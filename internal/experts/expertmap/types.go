package expertmap

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Rank numbers the members of a group from 0.
type Rank uint32

// Step numbers the group's steps; all ranks count alike.
type Step uint64

// NoLimit is the limit of an engine that may run every step.
const NoLimit Step = math.MaxUint64

// Incarnation numbers the lives of one rank's slot. A later life has a larger number; see Superseded for clocks.
type Incarnation uint64

// MapID names an expert map. The zero value means no map: an engine runs no step under it.
type MapID struct {
	// Version grows by one with each switch of the group.
	Version uint64
	// Name is the object of the platform's object store that holds the map.
	Name string
}

// IsZero reports whether m means no map.
func (m MapID) IsZero() bool { return m == MapID{} }

// String formats the map as VERSION:NAME.
func (m MapID) String() string { return fmt.Sprintf("%d:%s", m.Version, m.Name) }

// Ballot identifies a proposal. No two proposals share one: Proposer is drawn at each start of a proposer's process.
type Ballot struct {
	Fence    ids.Fence
	Proposer uint64
	Seq      uint64
}

// IsZero reports whether b means no proposal.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// Compare orders ballots by fencing number, proposer and sequence.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Fence, o.Fence), cmp.Compare(b.Proposer, o.Proposer), cmp.Compare(b.Seq, o.Seq))
}

// String formats the ballot as FENCE/PROPOSER/SEQUENCE.
func (b Ballot) String() string { return fmt.Sprintf("%d/%x/%d", b.Fence, b.Proposer, b.Seq) }

// Proposal asks a group to run step Start and all later ones under map To in place of From.
type Proposal struct {
	Ballot Ballot
	From   MapID
	To     MapID
	Start  Step
	// Roster holds, by rank, the incarnation that the proposal is meant for.
	Roster []Incarnation
}

// Addr is where a message comes from or goes to: a proposer, or else the slot of a rank.
type Addr struct {
	Proposer ids.Node
	Rank     Rank
}

// IsProposer reports whether the address is a proposer's.
func (a Addr) IsProposer() bool { return a.Proposer != "" }

// Message is one of the types in messages.go.
type Message interface{ message() }

// EngineReport is the state of a rank's engine, read after order Order was carried out or refused.
type EngineReport struct {
	// Order is the number of the last order of this slot that the engine has answered; 0 for none.
	Order uint64
	// Map is in force from step Start on, which may still lie ahead.
	Map   MapID
	Start Step
	// Limit is the first step that the engine does not run; NoLimit if there is none.
	Limit Step
	// Next is the first step that the engine has not started.
	Next Step
	// StepTime is the duration of a recent step.
	StepTime time.Duration
	// Staged is the map whose weights are loaded beside those in use; zero if there is none.
	Staged MapID
	// Failed is the map whose weights could not be loaded; zero if there is none.
	Failed MapID
}

// OrderKind says what an engine is to do.
type OrderKind string

// The orders to an engine. Each names the map that the engine must have, so that one that ignores fencing numbers
// still refuses an order that was meant for another state.
const (
	// OrderStage loads the weights of To beside those in use.
	OrderStage OrderKind = "stage"
	// OrderLimit: run no step from Step on. Refused if step Step has started.
	OrderLimit OrderKind = "limit"
	// OrderLift removes the limit, if it is Step.
	OrderLift OrderKind = "lift"
	// OrderSwitch removes the limit and runs Step and all later steps under To. Refused if step Step has started.
	OrderSwitch OrderKind = "switch"
)

// Effect is what a machine wants done: Send, Order, Alarm or Result.
type Effect interface{ effect() }

// Send hands a message to the transport, which may lose, copy, delay or reorder it.
type Send struct {
	To      Addr
	Message Message
}

// Order is an order to the rank's own engine. Orders are carried out one at a time, in the order given.
type Order struct {
	ID   uint64
	Kind OrderKind
	// Map is the engine's map as the slot knows it.
	Map  MapID
	Step Step
	To   MapID
}

// Alarm tells the operators about a state that the protocol rules out.
type Alarm struct{ Err error }

// Result tells the owner of a proposer how a switch ended.
type Result struct {
	To MapID
	// Start is the map's first step if Err is nil.
	Start Step
	// Err is nil if the map is committed: every rank has switched, or the slots will have it so; *FailedError otherwise.
	Err error
	// Attempts counts the proposals made.
	Attempts int
}

func (Send) effect()   {}
func (Order) effect()  {}
func (Alarm) effect()  {}
func (Result) effect() {}
