package revision

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func (v quorumCert) proto(now time.Time) *cardamomyokev1.Vouch {
	return &cardamomyokev1.Vouch{Seq: v.seq, AgeUs: ageOf(now, v.basis), All: v.all, DataCentres: v.centres}
}

// OnAck processes the acknowledgement of a child, or of a node that wants to become one.
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
		return n.finish() // a later acknowledgement arrived first
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
	// The address is taken from the message, since the node may have moved while the table is down.
	c.member = &Member{Name: m.GetFrom(), DataCentre: dc, Address: m.GetAddress()}
	c.seenAt = n.now
	c.nonce, c.nonceAt = m.GetNonce(), n.now
	c.staged = m.GetStaged()
	c.holds = bitset(m.GetHolds())
}

// recordReply adds the nodes that m covers to the round of the heartbeat that it acknowledges.
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

// certify creates a certificate if a majority acknowledged a heartbeat that started here. A node that restarted and has not
// recovered does not count itself, because it has lost its record of the log entries that it acknowledged.
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

// ackDelay returns how long an acknowledgement waits for those of the children.
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

// scheduleAck schedules an acknowledgement after delay, unless an earlier one is scheduled.
func (n *Node) scheduleAck(delay time.Duration) {
	at := n.now.Add(delay)
	if n.ackAt.IsZero() || at.Before(n.ackAt) {
		n.ackAt = at
	}
}

// acknowledge sends a scheduled acknowledgement that is due. Log entries that the parent lacks and the first
// acknowledgement of a heartbeat are sent immediately; other acknowledgements are spaced by minAckInterval, so that one
// message covers many nodes.
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

// holds returns the members known to hold the newest log entry that this node holds: itself and those that its children
// report.
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
