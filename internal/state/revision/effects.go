package revision

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Messages between nodes.
type (
	// Push is a beat; it travels away from the node that hears from nobody.
	Push = cardamomyokev1.PushRequest
	// Ack answers a beat.
	Ack = cardamomyokev1.AcknowledgeRequest
)

// Effect is something that the owner of a Node must do. The pointer types below are all there are.
type Effect interface{ effect() }

// SendPush sends a beat; it may be lost.
type SendPush struct {
	To  *Member
	Msg *Push
}

// SendAck sends an acknowledgement; it may be lost.
type SendAck struct {
	To  *Member
	Msg *Ack
}

// ReadHead reads the head row and the entries after After, and hands the result to OnHead, also if it fails.
type ReadHead struct {
	After uint64
	// Full asks for the newest checkpoint too, for a node that holds nothing.
	Full bool
	// Holds asks for the rows in which other nodes say which members hold what.
	Holds bool
}

// Accept writes in the head row that Seq is accepted, unless a later entry already is, and calls OnAccepted.
type Accept struct{ State *State }

// WriteHolds writes which members hold an entry, for nodes that this one does not reach.
type WriteHolds struct{ Row *cardamomyokev1.Holds }

// CatchUp fetches the state of another node and hands it to OnCatchUp, also if it fails.
type CatchUp struct{ From *Member }

// EditRoster commits an entry that changes the roster, and hands that entry to OnCommitted. Nothing needs to be told
// if it fails: the node asks again.
type EditRoster struct {
	Edit   *cardamomyokev1.RosterEdit
	Reason string
}

// Publish hands a new view to traffic.
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
	// Started is when the read began: what is accepted later than that it need not show.
	Started time.Time
	Head    *cardamomyokev1.Head
	// State is the newest checkpoint, or nil if it was not asked for or there is none.
	State   *State
	Entries []*Entry
	Holds   []*cardamomyokev1.Holds
	Err     error
}
