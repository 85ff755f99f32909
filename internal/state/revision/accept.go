package revision

import (
	"slices"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// pending is a log entry that this node holds but does not know to be accepted.
type pending struct {
	state *State
	since time.Time
	// heldSince has, by member index, the time from which this node has known without a gap that the member holds the log
	// entry, and lastAck the time at which that was last reported.
	heldSince map[int]time.Time
	lastAck   map[int]time.Time
	// edit is the log entry's change of the roster, or nil.
	edit *cardamomyokev1.RosterEdit
	// silent lists the members that the log entry removes only because they were unresponsive. A member that reaches the
	// table but no other node is alive, and serves until it reads of its removal.
	silent []*Member
}

// holders returns the members known to have held the log entry at the given time whose latest acknowledgement is within
// ackTTL. An older acknowledgement does not count, because a member that restarts after it has lost the log entry. If
// several members restart before the rest receive the log entry, they could form a majority that never learns of it.
func (p *pending) holders(at, now time.Time) bitset {
	out := newBitset(len(p.state.Roster.members))
	for i, first := range p.heldSince {
		if !first.After(at) && now.Sub(p.lastAck[i]) <= ackTTL {
			out.set(i)
		}
	}
	return out
}

// recordHolders records which members hold log entry seq and therefore all earlier log entries.
func (n *Node) recordHolders(holders bitset, seq uint64, now time.Time) {
	s := n.stateAt(seq)
	if s == nil {
		return
	}
	for _, p := range n.pending {
		if p.state.Seq > seq {
			continue
		}
		bits := translate(holders, s.Roster, p.state.Roster)
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

// accept emits the effect that marks the newest acceptable log entry as accepted in the table. Only an origin does this,
// since the acknowledgements arrive there.
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

// acceptable reports whether no node can act on the state before the log entry, now or later.
//
// Each member that holds the log entry puts it in force in time by itself. A missing member (one that may not hold the log
// entry) has stopped if nothing can have kept it fresh. A read of the table that began after the commit would have shown it
// the log entry. A majority without the log entry is impossible if the members that hold it leave too few others, in each
// roster that the missing member may use. Any older basis of its freshness has expired once stopTimeout, which exceeds
// StaleAfter, has passed since the last of those members received the log entry.
func (n *Node) acceptable(p *pending) bool {
	missing := n.missingFor(p)
	if len(missing) == 0 {
		return true
	}
	if n.now.Sub(p.since) < n.options.stopTimeout() {
		return false
	}
	held := p.holders(n.now.Add(-n.options.stopTimeout()), n.now)
	removed := n.removedNames()
	for _, s := range n.states {
		if s.Seq > p.state.Seq {
			break
		}
		bits := translate(held, p.state.Roster, s.Roster)
		for i, m := range s.Roster.members {
			if removed[m.GetName()] {
				bits.set(i)
			}
		}
		if !s.Roster.excludesMajority(bits, missing) {
			return false
		}
	}
	return true
}

// removedNames returns the nodes known to be dead: pending log entries remove them because they left or were reported dead
// by an operator or the host list. None of them can be part of a majority that keeps a missing node fresh. This includes a
// later incarnation of such a node, which does not act as a member before it holds the log entry that adds it again.
func (n *Node) removedNames() map[string]bool {
	out := map[string]bool{}
	for _, p := range n.pending {
		for _, name := range p.edit.GetRemove() {
			out[name] = true
		}
	}
	return out
}

// missingFor returns the nodes that may lack the log entry without being aware that they must stop: members that have not
// acknowledged it, and nodes that were unresponsive and are removed for that by this or an earlier pending log entry.
func (n *Node) missingFor(p *pending) []*Member {
	removed := n.removedNames()
	var out []*Member
	held := p.holders(n.now, n.now)
	for i, m := range p.state.Roster.members {
		if !held.has(i) && !removed[m.GetName()] {
			out = append(out, m)
		}
	}
	for i, before := range n.pending {
		if before.state.Seq > p.state.Seq {
			break
		}
		for _, m := range before.silent {
			if !removed[m.GetName()] && !n.addedAfter(i, m.GetName()) {
				out = append(out, m)
			}
		}
	}
	return out
}

// addedAfter reports whether an unresponsive node that pending log entry i removed has become a member again. It requested
// that because it had read of its removal.
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

// publishHolds writes the known holders to the table, to combine the acknowledgements of nodes that do not reach each other.
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

// mergeHolds records the holders that other nodes have written to the table since the last read.
func (n *Node) mergeHolds(rows []*cardamomyokev1.Holds) {
	for _, h := range rows {
		last, known := n.holdsCounts[h.GetFrom()]
		if !known || last == h.GetCount() {
			n.holdsCounts[h.GetFrom()] = h.GetCount()
			continue // the row may be old; only a changed count proves that it is not
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

// missingBits returns the nodes that acceptance waits for, as sent to the children: members as bits, others by name.
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

// pendingNames returns the nodes that acceptance waits for, as far as this node is aware.
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
