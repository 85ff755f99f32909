package revision

import (
	"slices"
	"time"
)

// round records which members acknowledged one heartbeat.
type round struct {
	// origin is the incarnation that started the heartbeat. The node's name would not do: the acknowledgement of a heartbeat
	// of its previous incarnation could count for one of the same number now, and the majority would certify an outdated
	// state.
	origin    string
	heartbeat uint64
	start     time.Time
	alive     bitset
	roster    *Roster
	maxStaged uint64
	acked     map[string]bool // children, by name
}

// isOrigin reports whether this node has no parent, so that heartbeats start here.
func (n *Node) isOrigin() bool { return n.parent == "" }

// dropUnresponsive drops the parent and the children that exceed their timeouts, and looks for a parent.
func (n *Node) dropUnresponsive() {
	for name, c := range n.children {
		if n.now.Sub(c.seenAt) > n.options.childTimeout() {
			delete(n.children, name)
		}
	}
	if n.parent != "" && n.now.Sub(n.parentAt) > n.options.parentTimeout() {
		n.parent = ""
		n.originSince = n.now
		n.joinNext = 0
		n.joinAt = time.Time{}
		n.heartbeatAt = n.now
	}
	n.join()
}

// join looks for a parent: it sends acknowledgements to the next joinParallelism candidates, best first, until one of them
// sends a heartbeat. A node whose parent is not the best candidate contacts the best one again every 4 to 5 heartbeats.
func (n *Node) join() {
	if n.now.Before(n.joinAt) || len(n.states) == 0 {
		return
	}
	parents := n.roster().parents(n.self.GetName(), n.options.Fanout)
	if len(parents) == 0 {
		n.joinAt = n.now.Add(n.options.HeartbeatInterval)
		return
	}
	if n.parent != "" {
		n.joinAt = n.now.Add(4*n.options.HeartbeatInterval + n.jitter(n.options.HeartbeatInterval))
		if best := parents[0]; n.parent != best {
			n.sendAck(best)
		}
		return
	}
	n.joinAt = n.now.Add(joinInterval)
	for range min(joinParallelism, len(parents)) {
		n.sendAck(parents[n.joinNext%len(parents)])
		n.joinNext++
	}
}

// isBetterParent reports whether name is a better parent than the current one.
func (n *Node) isBetterParent(name string) bool {
	parents := n.roster().parents(n.self.GetName(), n.options.Fanout)
	i, j := slices.Index(parents, name), slices.Index(parents, n.parent)
	return i >= 0 && (j < 0 || i < j)
}

// OnPush processes a heartbeat.
func (n *Node) OnPush(now time.Time, m *Push) []Effect {
	n.begin(now)
	if r := n.roster(); m.GetFrom() == n.self.GetName() || r.before(n.self.GetName(), m.GetFrom()) {
		return n.finish()
	}
	n.merge(m.GetEntries(), m.GetCommitted(), m.GetAccepted())
	n.catchUp(m.GetFrom(), m.GetStaged())
	n.mergeFreshness(m)
	n.followParent(m)
	return n.finish()
}

// mergeFreshness records the table read and the certificate that the heartbeat reports. Their ages are relative to the time
// at which the sender sent the heartbeat. A lower bound of that time is when this node sent the acknowledgement that the
// heartbeat echoes, plus the time that it spent at the sender. So a delayed heartbeat can only make the reported moments
// older, never younger.
func (n *Node) mergeFreshness(m *Push) {
	i := slices.IndexFunc(n.nonces, func(v nonce) bool { return v.n == m.GetEcho() })
	if i < 0 || m.GetEchoAgeUs() < 0 {
		return
	}
	sent := n.nonces[i].at.Add(time.Duration(m.GetEchoAgeUs()) * time.Microsecond)
	if sent.After(n.now) {
		sent = n.now
	}
	if m.GetTableAgeUs() >= 0 {
		n.mergeTableRead(sent.Add(-time.Duration(m.GetTableAgeUs())*time.Microsecond), m.GetStaged())
	}
	if v := m.GetVouch(); v != nil && v.GetAgeUs() >= 0 {
		n.mergeCert(quorumCert{
			seq: v.GetSeq(), basis: sent.Add(-time.Duration(v.GetAgeUs()) * time.Microsecond),
			all: v.GetAll(), centres: v.GetDataCentres(),
		})
	}
}

// followParent makes the sender the parent if there is none or it is a better one, and prepares to forward the heartbeat.
func (n *Node) followParent(m *Push) {
	if n.parent != m.GetFrom() && n.parent != "" && !n.isBetterParent(m.GetFrom()) {
		return
	}
	n.parent = m.GetFrom()
	n.parentAt = n.now
	n.parentStaged = m.GetStaged()
	n.missing = append(n.namesOf(m.GetMissing(), m.GetStaged()), m.GetMissingRemoved()...)
	last := n.lastRound()
	if last != nil && last.origin == m.GetOrigin() && last.heartbeat >= m.GetBeat() {
		n.scheduleAck(0)
		return
	}
	n.startRound(m.GetOrigin(), m.GetBeat())
	n.hasUpdate = true
	n.pushedAt = time.Time{}
	n.scheduleAck(n.ackDelay())
}

func (n *Node) namesOf(bits []byte, seq uint64) []string {
	s := n.stateAt(seq)
	if len(bits) == 0 || s == nil {
		return nil
	}
	var out []string
	for i, m := range s.Roster.members {
		if bitset(bits).has(i) {
			out = append(out, m.GetName())
		}
	}
	return out
}

func (n *Node) lastRound() *round {
	if len(n.rounds) == 0 {
		return nil
	}
	return n.rounds[len(n.rounds)-1]
}

func (n *Node) startRound(origin string, heartbeat uint64) {
	r := &round{origin: origin, heartbeat: heartbeat, start: n.now, roster: n.roster(), acked: map[string]bool{}}
	r.alive = newBitset(len(r.roster.members))
	n.rounds = append(n.rounds, r)
	if len(n.rounds) > maxRounds {
		n.rounds = n.rounds[1:]
	}
}

// pushHeartbeat starts a heartbeat when one is due at an origin, or forwards a received heartbeat or update to the children.
func (n *Node) pushHeartbeat() {
	if n.isOrigin() && (!n.now.Before(n.heartbeatAt) || n.hasUpdate) && n.mayPush() {
		n.heartbeats++
		n.startRound(n.incarnation, n.heartbeats)
		n.certify(n.lastRound())
		if !n.now.Before(n.heartbeatAt) {
			n.heartbeatAt = n.now.Add(n.options.HeartbeatInterval)
		}
		n.hasUpdate = true
	}
	if !n.hasUpdate || !n.mayPush() || n.lastRound() == nil {
		return
	}
	n.hasUpdate = false
	n.pushedAt = n.now
	for _, name := range n.childNames() {
		n.sendPush(n.children[name])
	}
}

func (n *Node) mayPush() bool { return n.now.Sub(n.pushedAt) >= minPushInterval }

func (n *Node) childNames() []string {
	names := make([]string, 0, len(n.children))
	for name := range n.children {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (n *Node) sendPush(c *child) {
	last := n.lastRound()
	if last == nil {
		return
	}
	m := &Push{
		From: n.self.GetName(), Incarnation: n.incarnation, Origin: last.origin, Beat: last.heartbeat,
		Committed: n.committed, Accepted: n.accepted, Staged: n.staged(),
		TableAgeUs: -1, Echo: c.nonce, EchoAgeUs: n.now.Sub(c.nonceAt).Microseconds(),
		Entries: n.entriesAfter(c.staged),
	}
	m.Missing, m.MissingRemoved = n.missingBits()
	if !n.tableReadAt.IsZero() {
		m.TableAgeUs = ageOf(n.now, n.tableReadAt)
	}
	if !n.newestCert.basis.IsZero() {
		m.Vouch = n.newestCert.proto(n.now)
	}
	n.emit(&SendPush{c.member, m})
}

// ageOf returns the age of then in microseconds, rounded up so that it is never understated.
func ageOf(now, then time.Time) int64 { return now.Sub(then).Microseconds() + 1 }
