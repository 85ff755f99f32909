package revision

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Messages between nodes.
type (
	// Push is a heartbeat; it travels down the tree.
	Push = cardamomyokev1.PushRequest
	// Ack is an acknowledgement of a heartbeat; it travels up the tree.
	Ack = cardamomyokev1.AcknowledgeRequest
)

// Effect is an action that the owner of a Node must carry out. The pointer types below are the only effects.
type Effect interface{ effect() }

// SendPush sends a heartbeat; it may be lost.
type SendPush struct {
	To  *Member
	Msg *Push
}

// SendAck sends an acknowledgement; it may be lost.
type SendAck struct {
	To  *Member
	Msg *Ack
}

// ReadHead reads the head row and the log entries after After, and passes the result or the error to OnHead.
type ReadHead struct {
	After uint64
	// Full requests the newest checkpoint too, for a node that has no state.
	Full bool
	// Holds requests the rows in which other nodes report which members hold which log entry.
	Holds bool
}

// Accept marks State.Seq as accepted in the head row, unless a later log entry is accepted already, and calls
// OnAccepted.
type Accept struct{ State *State }

// WriteHolds writes to the table which members hold a log entry, for nodes that this one does not reach.
type WriteHolds struct{ Row *cardamomyokev1.Holds }

// CatchUp fetches the state of another node and calls OnCatchUp, also if that fails.
type CatchUp struct{ From *Member }

// EditRoster commits a log entry that changes the roster and passes it to OnCommitted. A failure need not be reported:
// the node repeats the effect.
type EditRoster struct {
	Edit   *cardamomyokev1.RosterEdit
	Reason string
}

// Publish replaces the view that request handlers read.
type Publish struct{ View *View }

func (*SendPush) effect()   {}
func (*SendAck) effect()    {}
func (*ReadHead) effect()   {}
func (*Accept) effect()     {}
func (*WriteHolds) effect() {}
func (*CatchUp) effect()    {}
func (*EditRoster) effect() {}
func (*Publish) effect()    {}

// HeadRead is the result of ReadHead.
type HeadRead struct {
	// Started is when the read began; the result need not contain commits and acceptances after that.
	Started time.Time
	Head    *cardamomyokev1.Head
	// State is the newest checkpoint, or nil if it was not asked for or there is none.
	State   *State
	Entries []*LogEntry
	Holds   []*cardamomyokev1.Holds
	Err     error
}
