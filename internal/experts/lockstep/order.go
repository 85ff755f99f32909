package lockstep

import "time"

// Op is what an order asks of a rank.
type Op string

// The orders that engines know.
const (
	// OpPrepare has the rank load what a map needs.
	OpPrepare Op = "prepare"
	// OpArm has the rank switch to a prepared map as a pass begins.
	OpArm Op = "arm"
	// OpDisarm takes OpArm back.
	OpDisarm Op = "disarm"
	// OpHold keeps the group from beginning a pass until OpRelease with the same pass.
	OpHold Op = "hold"
	// OpRelease ends OpHold.
	OpRelease Op = "release"
)

// Order is one order to one rank. A rank refuses it in another epoch of its group.
type Order struct {
	Rank      int
	Op        Op
	Epoch     uint64
	Version   uint64
	Pass      uint64
	Placement Placement
	// Wait is for how long an agent beside the rank gives the order again while it gets no answer, and how long the answer to
	// OpPrepare may take to be ReplyPrepared.
	Wait time.Duration
}

// Reply is how a rank answered an order.
type Reply int

const (
	// ReplyLost: no answer came. The order may have been carried out, or may be seconds later.
	ReplyLost Reply = iota
	// ReplyBegun: the rank accepted the order.
	ReplyBegun
	// ReplyHolds: what the order asks for is so already.
	ReplyHolds
	// ReplyPrepared: the rank has prepared the map that it was ordered to; some answer so at once, some with ReplyBegun.
	ReplyPrepared
	// ReplyRefused: the order does not fit the rank's state, and changed nothing.
	ReplyRefused
)

// Armed is a switch that a rank has been told to make.
type Armed struct{ Version, Pass uint64 }

// Report is what a rank says of itself.
type Report struct {
	// StartedAtMS tells the rank's lives apart; see ids.UpstreamIncarnation.
	StartedAtMS int64
	// Group is the name of the rank's group.
	Group      string
	Rank, Size int
	Epoch      uint64
	// Open says that the group works.
	Open bool
	// Pass is the last pass that was begun.
	Pass uint64
	// Version is that of the map in use, Prepared that of the newest map whose experts are loaded, 0 for none.
	Version, Prepared uint64
	Armed             *Armed
	// Held is the pass that this rank keeps the group from beginning, or nil.
	Held *uint64
	// Pace is how many times as long as usual the rank's work takes.
	Pace float64
	// Fresh says that the report is of now; others are some hundred ms old.
	Fresh bool
	// Running and Waiting count requests; CacheTokens is the KV cache in use.
	Running, Waiting, CacheTokens int
}
