package revision

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// CatchUpReply returns the response to a node that requests the full state, or nil if nothing is in force here.
func (n *Node) CatchUpReply() *cardamomyokev1.CatchUpResponse {
	if n.inForce == nil {
		return nil
	}
	return &cardamomyokev1.CatchUpResponse{
		State: n.inForce.Proto(), Entries: n.entriesAfter(n.inForce.Seq), Accepted: n.accepted,
	}
}

// OnCatchUp processes the state that another node sent; s is nil if the request failed.
func (n *Node) OnCatchUp(now time.Time, s *State, entries []*LogEntry, accepted uint64) []Effect {
	n.begin(now)
	if s != nil {
		n.reset(s)
		n.merge(entries, 0, accepted)
	}
	return n.finish()
}

// catchUp requests the full state of a peer that still holds a later log entry than this node after its log entries were
// merged.
func (n *Node) catchUp(from string, peerStaged uint64) {
	if n.staged() >= peerStaged || n.now.Sub(n.catchUpAt) < n.options.HeartbeatInterval {
		return
	}
	m := n.roster().Member(from)
	if m == nil {
		return
	}
	n.catchUpAt = n.now
	n.emit(&CatchUp{m})
}
