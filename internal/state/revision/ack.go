package revision

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func (v quorumCert) proto(now time.Time) *cardamomyokev1.Vouch {
	return &cardamomyokev1.Vouch{Seq: v.seq, AgeUs: ageOf(now, v.basis), All: v.all, DataCentres: v.centres}
}

// OnAck takes the answer of a node that hears from this one, or wants to.
func (n *Node) OnAck(now time.Time, m *Ack) []Effect {
	n.begin(now)
	if m.GetFrom() == n.self.GetName() || len(n.states) == 0 || n.roster().before(m.GetFrom(), n.self.GetName()) {
		return n.finish()
	}
	c, known := n.children[m.GetFrom()]
	if !known || c.incarnation != m.GetIncarnation() {
		c = &child{incarnation: m.GetIncarnation()}
		n.children[m.GetFrom()] = c
		known = false
	}
	if m.GetNonce() <= c.nonce {
		return n.finish() // overtaken on its way
	}
	n.updateChild(c, m)
	n.merge(m.GetEntries(), m.GetCommitted(), 0)
	n.catchUp(m.GetFrom(), m.GetStaged())
	n.recordHolders(c.holds, c.staged, n.now)
	n.mergeRequests(m.GetWanted())
	n.recordReply(m)
	if !known {
		n.sendPush(c)
	}
	return n.finish()
}

func (n *Node) updateChild(c *child, m *Ack) {
	dc := ""
	if member := n.roster().Member(m.GetFrom()); member != nil {
		dc = member.GetDataCentre()
	}
	// The address comes from the node itself, since it may have moved while the table is down.
	c.member = &Member{Name: m.GetFrom(), DataCentre: dc, Address: m.GetAddress()}
	c.seenAt = n.now
	c.nonce, c.nonceAt = m.GetNonce(), n.now
	c.staged = m.GetStaged()
	c.holds = bitset(m.GetHolds())
}

// recordReply adds the nodes that m speaks for to the beat that it answers.
func (n *Node) recordReply(m *Ack) {
	s := n.stateAt(m.GetStaged())
	for _, r := range n.rounds {
		if r.origin != m.GetOrigin() || r.heartbeat != m.GetBeat() {
			continue
		}
		r.acked[m.GetFrom()] = true
		if s != nil {
			r.alive.or(translate(m.GetAlive(), s.Roster, r.roster))
			r.maxStaged = max(r.maxStaged, m.GetMaxStaged())
		}
		n.certify(r)
	}
	n.scheduleAck(n.ackDelay())
}

// certify certifies that a majority answered a beat that started here. A node that restarted and has not recovered does
// not count: it has forgotten what it holds.
func (n *Node) certify(r *round) {
	if r.origin != n.incarnation || r.roster != n.roster() {
		return
	}
	n.countSelf(r)
	n.markAlive(r)
	all, centres := r.roster.majorities(r.alive)
	if all || len(centres) > 0 {
		n.mergeCert(quorumCert{seq: r.maxStaged, basis: r.start, all: all, centres: centres})
	}
}

func (n *Node) countSelf(r *round) {
	i, ok := r.roster.index[n.self.GetName()]
	if !ok || !n.recovered() {
		return
	}
	r.alive.set(i)
	r.maxStaged = max(r.maxStaged, n.staged())
}

// ackDelay is how long an acknowledgement waits for the nodes that hear from this one.
func (n *Node) ackDelay() time.Duration {
	if n.staged() > n.parentStaged {
		return 0
	}
	r := n.lastRound()
	for name, c := range n.children {
		if r == nil || !r.acked[name] || c.staged < n.staged() {
			return maxAckDelay
		}
	}
	return 0
}

// scheduleAck plans an acknowledgement; an earlier plan stays.
func (n *Node) scheduleAck(wait time.Duration) {
	at := n.now.Add(wait)
	if n.ackAt.IsZero() || at.Before(n.ackAt) {
		n.ackAt = at
	}
}

// acknowledge sends a planned acknowledgement. What the parent lacks goes at once; the rest is held back a little, so
// that one message speaks for many nodes.
func (n *Node) acknowledge() {
	if n.ackAt.IsZero() || n.parent == "" || n.now.Before(n.ackAt) {
		return
	}
	urgent := n.staged() > n.parentStaged || n.ackedAt.Before(n.parentAt)
	if !urgent && n.now.Sub(n.ackedAt) < minAckInterval {
		return
	}
	n.ackAt = time.Time{}
	n.ackedAt = n.now
	n.sendAck(n.parent)
}

func (n *Node) sendAck(to string) {
	member := n.roster().Member(to)
	if member == nil || len(n.states) == 0 {
		return
	}
	next := n.nonces[len(n.nonces)-1].n + 1
	n.nonces = append(n.nonces, nonce{next, n.now})
	if len(n.nonces) > maxNonces {
		n.nonces = n.nonces[1:]
	}
	m := &Ack{
		From: n.self.GetName(), Incarnation: n.incarnation, Address: n.self.GetAddress(), Nonce: next,
		Staged: n.staged(), Committed: n.committed, Holds: n.holds(), MaxStaged: n.staged(),
	}
	m.Wanted = n.openRequests()
	if to == n.parent {
		m.Entries = n.entriesAfter(n.parentStaged)
	}
	if r := n.lastRound(); r != nil {
		n.countSelf(r)
		m.Origin, m.Beat = r.origin, r.heartbeat
		m.Alive = translate(r.alive, r.roster, n.roster())
		m.MaxStaged = max(r.maxStaged, m.MaxStaged)
	}
	n.emit(&SendAck{member, m})
}

// holds returns the members known to hold the newest entry that this node holds: itself and those that its children
// speak for.
func (n *Node) holds() bitset {
	r := n.roster()
	out := newBitset(len(r.members))
	if i, ok := r.index[n.self.GetName()]; ok {
		out.set(i)
	}
	for _, c := range n.children {
		if c.staged == n.staged() {
			out.or(c.holds)
		}
	}
	return out
}
