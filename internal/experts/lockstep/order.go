package lockstep

import "time"

// Op is the action that an order requests of a rank.
type Op string

// The orders that engines support.
const (
	// OpPrepare loads the experts that a map needs.
	OpPrepare Op = "prepare"
	// OpArm schedules the switch to a prepared map at the beginning of a pass.
	OpArm Op = "arm"
	// OpDisarm reverts OpArm.
	OpDisarm Op = "disarm"
	// OpHold keeps the group from beginning a pass until OpRelease with the same pass.
	OpHold Op = "hold"
	// OpRelease ends OpHold.
	OpRelease Op = "release"
)

// Order is one order to one rank. The rank refuses it if its group has another epoch.
type Order struct {
	Rank      int
	Op        Op
	Epoch     uint64
	Version   uint64
	Pass      uint64
	Placement Placement
	// Wait is how long an agent on the rank's host repeats the order while the rank does not respond. For OpPrepare
	// it is also the maximum time until the reply ReplyPrepared.
	Wait time.Duration
}

// Reply is a rank's reply to an order.
type Reply int

const (
	// ReplyLost: no response arrived. The order may have been executed, or may be executed seconds later.
	ReplyLost Reply = iota
	// ReplyAccepted: the rank accepted the order.
	ReplyAccepted
	// ReplyAlreadyApplied: the rank is already in the state that the order requests.
	ReplyAlreadyApplied
	// ReplyPrepared: the rank has prepared the map of the order. Some ranks reply so immediately, some reply
	// ReplyAccepted first.
	ReplyPrepared
	// ReplyRefused: the order does not fit the rank's state and changed nothing.
	ReplyRefused
)

// Armed is a switch that a rank is armed for.
type Armed struct{ Version, Pass uint64 }

// Report is the state that a rank reports.
type Report struct {
	// StartedAtMS is the rank's start time in Unix ms, which distinguishes its incarnations; see
	// ids.UpstreamIncarnation.
	StartedAtMS int64
	// Group is the name of the rank's group.
	Group      string
	Rank, Size int
	Epoch      uint64
	// Open is set if the group is operational.
	Open bool
	// Pass is the last pass that has begun.
	Pass uint64
	// Version is the version of the map in use, Prepared that of the newest map whose experts are loaded; 0 for none.
	Version, Prepared uint64
	Armed             *Armed
	// HeldPass is the pass that this rank keeps the group from beginning, or nil.
	HeldPass *uint64
	// Slowdown is how many times as long as normal the rank's work takes; 1 is normal.
	Slowdown float64
	// Fresh is set if the report is current; other reports are some hundred ms old.
	Fresh bool
	// Running and Waiting are numbers of requests; CacheTokens is the used KV cache in tokens.
	Running, Waiting, CacheTokens int
}
