package revision

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// CatchUpResponse is what another node gets that asks for the whole state; nil if this node has none to give.
func (n *Node) CatchUpResponse() *cardamomyokev1.CatchUpResponse {
	if n.inForce == nil {
		return nil
	}
	return &cardamomyokev1.CatchUpResponse{
		State: n.inForce.Proto(), Entries: n.entriesAfter(n.inForce.Seq), Accepted: n.accepted,
	}
}

// OnCatchUp takes the answer of another node, nil if it failed.
func (n *Node) OnCatchUp(now time.Time, s *State, entries []*Entry, accepted uint64) []Effect {
	n.begin(now)
	if s != nil {
		n.reset(s)
		n.merge(entries, 0, accepted)
	}
	return n.finish()
}

// catchUp asks a node for the whole state if entries alone cannot lead to what it holds.
func (n *Node) catchUp(from string, theirs uint64) {
	if n.staged() >= theirs || n.now.Sub(n.catchUpAt) < n.options.HeartbeatInterval {
		return
	}
	m := n.roster().Member(from)
	if m == nil {
		return
	}
	n.catchUpAt = n.now
	n.emit(&CatchUp{m})
}
