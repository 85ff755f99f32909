package revision

import (
	"slices"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// pending is an entry that is held but not known to be accepted.
type pending struct {
	state *State
	since time.Time
	// heldSince says since when this node knows that a member, by index, holds the entry, and seen when it last heard so.
	heldSince map[int]time.Time
	lastAck   map[int]time.Time
	// edit is the entry's change of the roster, or nil.
	edit *cardamomyokev1.RosterEdit
	// silent are members that the entry removes only because they were silent. One that reaches the table but no node
	// is alive: it serves until it reads of its removal.
	silent []*Member
}

// holders returns the members that held the entry at the time `since`, and still did not long before now. An
// acknowledgement counts for ackKept only: a member that restarts after it has forgotten the entry, and if several do so
// before the rest has got hold of it, they could form a majority that never hears of it.
func (p *pending) holders(since, now time.Time) bitset {
	out := newBitset(len(p.state.Roster.members))
	for i, first := range p.heldSince {
		if !first.After(since) && now.Sub(p.lastAck[i]) <= ackTTL {
			out.set(i)
		}
	}
	return out
}

// recordHolders notes which members hold the entry seq, and with it all entries before.
func (n *Node) recordHolders(held bitset, seq uint64, now time.Time) {
	s := n.stateAt(seq)
	if s == nil {
		return
	}
	for _, p := range n.pending {
		if p.state.Seq > seq {
			continue
		}
		bits := translate(held, s.Roster, p.state.Roster)
		for i := range p.state.Roster.members {
			if !bits.has(i) {
				continue
			}
			if _, known := p.heldSince[i]; !known || now.Sub(p.lastAck[i]) > ackTTL {
				p.heldSince[i] = now
			}
			p.lastAck[i] = now
			n.lastSeen[p.state.Roster.members[i].GetName()] = now
		}
	}
}

// accept has the newest entry that may be accepted written so. Only a node that hears from nobody does this, as it is
// the one that the acknowledgements reach.
func (n *Node) accept() {
	if !n.isOrigin() || n.now.Before(n.acceptAt) || n.oldestPending() == nil {
		return
	}
	for _, p := range n.pending {
		if i, ok := p.state.Roster.index[n.self.GetName()]; ok {
			p.lastAck[i] = n.now
		}
	}
	for i := len(n.pending) - 1; i >= 0; i-- {
		p := n.pending[i]
		if p.state.Seq <= n.accepted || !n.acceptable(p) {
			continue
		}
		n.acceptAt = n.now.Add(readTimeout)
		n.emit(&Accept{p.state})
		return
	}
	n.publishHolds()
}

// acceptable reports whether no node can act on what was before the entry, now or later.
//
// Each member that holds the entry puts it in force in time by itself. A member that is missing has stopped if it
// cannot be fresh: a read of the table, begun after the entry was committed, would have shown the entry to it; and a
// majority without it is impossible if the members that hold the entry leave too few others, in each roster that the
// missing one may go by. What it knew before that has run out once StaleAfter has passed since the last of them got hold
// of the entry.
func (n *Node) acceptable(p *pending) bool {
	missing := n.missingFor(p)
	if len(missing) == 0 {
		return true
	}
	if n.now.Sub(p.since) < n.options.stopTimeout() {
		return false
	}
	held := p.holders(n.now.Add(-n.options.stopTimeout()), n.now)
	gone := n.removedNames()
	for _, s := range n.states {
		if s.Seq > p.state.Seq {
			break
		}
		bits := translate(held, p.state.Roster, s.Roster)
		for i, m := range s.Roster.members {
			if gone[m.GetName()] {
				bits.set(i)
			}
		}
		if !s.Roster.excludesMajority(bits, missing) {
			return false
		}
	}
	return true
}

// removedNames returns the nodes that are known to have ended, since they left or are said to be gone. None of them can
// vouch for a node that is missing. A later life of one counts too: it is no member in its own eyes before it holds the
// entry that adds it again.
func (n *Node) removedNames() map[string]bool {
	out := map[string]bool{}
	for _, p := range n.pending {
		for _, name := range p.edit.GetRemove() {
			out[name] = true
		}
	}
	return out
}

// missingFor returns the nodes that may not hold the entry and may not have been told to stop: members that have not
// acknowledged it, and those that it or an entry before it, not accepted yet, removes for their silence.
func (n *Node) missingFor(p *pending) []*Member {
	gone := n.removedNames()
	var out []*Member
	held := p.holders(n.now, n.now)
	for i, m := range p.state.Roster.members {
		if !held.has(i) && !gone[m.GetName()] {
			out = append(out, m)
		}
	}
	for i, before := range n.pending {
		if before.state.Seq > p.state.Seq {
			break
		}
		for _, m := range before.silent {
			if !gone[m.GetName()] && !n.addedAfter(i, m.GetName()) {
				out = append(out, m)
			}
		}
	}
	return out
}

// addedAfter reports whether a node that was removed for its silence has become a member again: it asked for that
// because it had read of its removal.
func (n *Node) addedAfter(i int, name string) bool {
	for _, p := range n.pending[i:] {
		for _, m := range p.edit.GetAdd() {
			if m.GetName() == name {
				return true
			}
		}
	}
	return false
}

// publishHolds uses the table to put together the acknowledgements of nodes that do not reach each other.
func (n *Node) publishHolds() {
	p := n.oldestPending()
	if p == nil || n.now.Sub(p.since) < holdsDelay || n.now.Sub(n.holdsWrittenAt) < n.options.HeartbeatInterval*3/2 {
		return
	}
	held := n.holds()
	n.holdsWrittenAt = n.now
	n.holdsCount++
	n.emit(&WriteHolds{&cardamomyokev1.Holds{Seq: n.staged(), Holds: held, From: n.incarnation, Count: n.holdsCount}})
}

// mergeHolds credits what other nodes wrote in the table since the last read.
func (n *Node) mergeHolds(rows []*cardamomyokev1.Holds) {
	for _, h := range rows {
		last, known := n.holdsCounts[h.GetFrom()]
		if !known || last == h.GetCount() {
			n.holdsCounts[h.GetFrom()] = h.GetCount()
			continue // it may be old: only a change shows that it is not
		}
		n.holdsCounts[h.GetFrom()] = h.GetCount()
		n.recordHolders(bitset(h.GetHolds()), h.GetSeq(), n.now)
	}
}

func (n *Node) oldestPending() *pending {
	for _, p := range n.pending {
		if p.state.Seq > n.accepted {
			return p
		}
	}
	return nil
}

// missingBits returns the nodes that hold acceptance back, for the nodes that hear from this one: members as bits,
// others by name.
func (n *Node) missingBits() ([]byte, []string) {
	names := n.pendingNames()
	if len(names) == 0 {
		return nil, nil
	}
	r := n.roster()
	out := newBitset(len(r.members))
	var others []string
	for _, name := range names {
		if i, ok := r.index[name]; ok {
			out.set(i)
		} else {
			others = append(others, name)
		}
	}
	return out, others
}

// pendingNames returns the nodes that hold acceptance back, as far as this node knows.
func (n *Node) pendingNames() []string {
	if n.staged() <= n.accepted || len(n.pending) == 0 {
		return nil
	}
	if !n.isOrigin() {
		return n.missing
	}
	var out []string
	for _, m := range n.missingFor(n.pending[len(n.pending)-1]) {
		out = append(out, m.GetName())
	}
	slices.Sort(out)
	return slices.Compact(out)
}
