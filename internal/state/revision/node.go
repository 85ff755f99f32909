package revision

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

var chart = charts.MustLoad("revision")

// Events of the chart.
const (
	evRecovered charts.Event = "recovered"
	evStaged    charts.Event = "staged"
	evInForce   charts.Event = "in-force"
	evStale     charts.Event = "stale"
	evFresh     charts.Event = "fresh"
)

const stateStarting charts.State = "starting"

// Node is the state machine of one node. It does no I/O, reads no clock and is not safe for concurrent use. Its owner calls
// Tick every 50 ms, calls the On methods with received messages and results, and carries out the effects they return.
type Node struct {
	options     Options
	self        *Member
	incarnation string
	rng         *rand.Rand
	startedAt   time.Time
	machine     charts.Machine
	leaving     bool
	seeds       []*Member

	// states holds consecutive states: from that after the accepted log entry or the one in force, whichever is older, to
	// that after the newest held log entry.
	states      []*State
	inForce     *State
	log         []*LogEntry
	committed   uint64
	accepted    uint64
	floors      []floor
	missing     []string   // as reported by the last heartbeat
	tableReadAt time.Time  // start of the newest table read of which this node holds all committed log entries
	newestCert  quorumCert // forwarded to the children
	certBasis   time.Time  // basis of the newest certificate that applies to this node

	parent       string
	parentAt     time.Time
	parentStaged uint64 // newest log entry held by the parent
	joinAt       time.Time
	joinNext     int
	children     map[string]*child
	nonces       []nonce
	rounds       []*round
	heartbeats   uint64
	heartbeatAt  time.Time // when the next heartbeat starts here, if this node is an origin
	pushedAt     time.Time
	hasUpdate    bool
	ackAt        time.Time // zero if no acknowledgement is scheduled
	ackedAt      time.Time

	pending        []*pending
	pollAt         time.Time
	readStartedAt  time.Time // zero if no read is in flight
	acceptAt       time.Time // earliest time of the next Accept
	catchUpAt      time.Time
	rosterEditAt   time.Time
	requests       map[string]membershipRequest
	lastSeen       map[string]time.Time
	everListed     map[string]bool // names that any host list has contained
	originSince    time.Time
	holdsWrittenAt time.Time
	holdsCount     uint64
	holdsCounts    map[string]uint64 // last Count of the rows of acknowledgements, by writer incarnation

	now  time.Time
	out  []Effect
	view *View
}

// child is a node that receives heartbeats from this one.
type child struct {
	member      *Member
	seenAt      time.Time
	incarnation string
	nonce       uint64
	nonceAt     time.Time
	staged      uint64
	holds       bitset
}

// nonce records when an acknowledgement was sent.
type nonce struct {
	n  uint64
	at time.Time
}

// quorumCert certifies that a majority held no log entry after seq at some time after basis. The majority is one of all
// members if all is set, and one of each data centre in centres.
type quorumCert struct {
	seq     uint64
	basis   time.Time
	all     bool
	centres []string
}

// NewNode returns a node that starts now with an empty log. It fetches the state from one of seeds while the table is down.
func NewNode(self *Member, incarnation ids.Incarnation, seeds []*Member, o Options, rng *rand.Rand, now time.Time) *Node {
	n := &Node{
		options:     o.withDefaults(),
		self:        self,
		incarnation: string(incarnation),
		rng:         rng,
		startedAt:   now,
		machine:     chart.Start(),
		children:    map[string]*child{},
		seeds:       seeds,
		requests:    map[string]membershipRequest{},
		lastSeen:    map[string]time.Time{},
		everListed:  map[string]bool{},
		holdsCounts: map[string]uint64{},
		originSince: now,
	}
	n.heartbeatAt = now.Add(n.jitter(n.options.HeartbeatInterval))
	n.nonces = []nonce{{rng.Uint64() >> 1, now}}
	return n
}

func (n *Node) jitter(d time.Duration) time.Duration {
	return time.Duration(n.rng.Int64N(int64(d) + 1))
}

func (n *Node) head() *State {
	if len(n.states) == 0 {
		return nil
	}
	return n.states[len(n.states)-1]
}

func (n *Node) staged() uint64 {
	if s := n.head(); s != nil {
		return s.Seq
	}
	return 0
}

// stateAt returns the state after log entry seq, or nil if it is not retained.
func (n *Node) stateAt(seq uint64) *State {
	for _, s := range n.states {
		if s.Seq == seq {
			return s
		}
	}
	return nil
}

func (n *Node) roster() *Roster {
	if s := n.head(); s != nil {
		return s.Roster
	}
	return NewRoster(nil)
}

func (n *Node) isMember() bool { return n.roster().Member(n.self.GetName()) != nil }

func (n *Node) recovered() bool { return n.machine.State() != stateStarting }

func (n *Node) begin(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	n.out = nil
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

func (n *Node) fire(ev charts.Event) {
	// Fire cannot fail: the chart declares each of these events, which charts_test and the chart's own check verify.
	_, _ = n.machine.Fire(ev)
}

// finish runs the steps that follow every event and returns the effects.
func (n *Node) finish() []Effect {
	n.dropUnresponsive()
	n.editRoster()
	n.accept()
	n.advance()
	n.pushHeartbeat()
	n.acknowledge()
	n.poll()
	n.publish()
	return n.out
}

// Tick advances the node to now.
func (n *Node) Tick(now time.Time) []Effect {
	n.begin(now)
	return n.finish()
}

// Leave stops the node from taking new work and requests its removal from the roster. The owner calls it when the node's
// work is finished, and may exit once the newest roster in the view no longer contains the node.
func (n *Node) Leave(now time.Time) []Effect {
	n.begin(now)
	n.leaving = true
	n.scheduleAck(0)
	return n.finish()
}

// OnCommitted processes a log entry that this node itself has committed in the table.
func (n *Node) OnCommitted(now time.Time, e *LogEntry) []Effect {
	n.begin(now)
	n.merge([]*LogEntry{e}, e.GetSeq(), 0)
	return n.finish()
}

// OnAccepted processes the outcome of Accept: the newest accepted log entry, or 0 if the write failed.
func (n *Node) OnAccepted(now time.Time, seq uint64) []Effect {
	n.begin(now)
	n.acceptAt = n.now
	if seq == 0 {
		// An open circuit breaker fails immediately, so an immediate retry would loop.
		n.acceptAt = n.now.Add(n.options.HeartbeatInterval/2 + n.jitter(n.options.HeartbeatInterval))
	}
	n.merge(nil, 0, seq)
	return n.finish()
}

// merge records committed log entries and sequence numbers from any source, and stages the log entries that follow the held
// ones.
func (n *Node) merge(entries []*LogEntry, committed, accepted uint64) {
	before := [3]uint64{n.staged(), n.committed, n.accepted}
	for _, e := range entries {
		if len(n.states) > 0 && e.GetSeq() == n.staged()+1 {
			n.stage(e)
		}
	}
	n.committed = max(n.committed, committed, n.staged())
	n.accepted = max(n.accepted, accepted)
	if before != [3]uint64{n.staged(), n.committed, n.accepted} {
		n.hasUpdate = true
		n.scheduleAck(n.ackDelay())
	}
}

// stage applies e and holds it. A log entry that this node cannot apply is not held, so it is never accepted while the node
// is a member, and the list of pending nodes names it.
func (n *Node) stage(e *LogEntry) {
	next, err := n.head().Apply(e)
	if err != nil {
		return
	}
	before := n.head().Roster
	n.states = append(n.states, next)
	n.log = append(n.log, e)
	if len(n.log) > maxLogEntries {
		n.log = slices.Clone(n.log[len(n.log)-maxLogEntries:])
	}
	n.fire(evStaged)
	p := &pending{state: next, since: n.now, heldSince: map[int]time.Time{}, lastAck: map[int]time.Time{}, edit: e.GetRoster()}
	if i, ok := next.Roster.index[n.self.GetName()]; ok {
		p.heldSince[i], p.lastAck[i] = n.now, n.now
	}
	for _, name := range e.GetRoster().GetSilent() {
		if m := before.Member(name); m != nil {
			p.silent = append(p.silent, m)
		}
	}
	for _, m := range e.GetRoster().GetAdd() {
		n.lastSeen[m.GetName()] = n.now
	}
	n.pending = append(n.pending, p)
}

// reset replaces the held states and log entries by a later state.
func (n *Node) reset(s *State) {
	if len(n.states) > 0 && s.Seq <= n.staged() {
		return
	}
	n.states = []*State{s}
	n.log = nil
	n.pending = nil
	n.committed = max(n.committed, s.Seq)
	n.hasUpdate = true
	n.scheduleAck(n.ackDelay())
}

// entriesAfter returns the held log entries after seq, or nil if there are none or the log no longer retains all of them.
func (n *Node) entriesAfter(seq uint64) []*LogEntry {
	if len(n.log) == 0 || n.log[0].GetSeq() > seq+1 || seq >= n.staged() {
		return nil
	}
	return n.log[seq+1-n.log[0].GetSeq():]
}

// advance puts the accepted log entries in force. If the newest table read that this node is aware of is older than
// ForceAfter, it puts all held log entries in force: otherwise a node that is partitioned just before a log entry is accepted
// would work without it for the whole partition. A committed log entry is never revoked, so this is early but not wrong.
func (n *Node) advance() {
	if len(n.states) == 0 || !n.recovered() {
		return
	}
	target := min(n.accepted, n.staged())
	if n.now.Sub(n.tableReadAt) > n.options.ForceAfter {
		target = n.staged()
	}
	if s := n.stateAt(target); s != nil && (n.inForce == nil || s.Seq > n.inForce.Seq) {
		n.putInForce(s)
	}
	keep := min(n.inForceSeq(), max(n.accepted, n.states[0].Seq))
	n.states = slices.DeleteFunc(n.states, func(s *State) bool { return s.Seq < keep })
	n.pending = slices.DeleteFunc(n.pending, func(p *pending) bool { return p.state.Seq <= n.accepted })
}

func (n *Node) inForceSeq() uint64 {
	if n.inForce == nil {
		return 0
	}
	return n.inForce.Seq
}

func (n *Node) putInForce(s *State) {
	if n.inForce == nil || s.Revision() != n.inForce.Revision() {
		n.floors = append(slices.Clip(n.floors), floor{ids.Revision(s.Revision()), n.now.Add(n.options.ForceAfter)})
	}
	if len(n.floors) > maxFloors {
		n.floors = n.floors[len(n.floors)-maxFloors:]
	}
	n.inForce = s
	if s.Seq == n.staged() {
		n.fire(evInForce)
	}
}

// freshUntil returns the deadline for new work, zero if the node may take none.
func (n *Node) freshUntil() time.Time {
	if !n.recovered() || !n.isMember() || n.leaving || n.inForce == nil {
		return time.Time{}
	}
	basis := n.tableReadAt
	// A majority proves which log entries are held, not which are accepted. While a log entry is held but not in force, only
	// the table can show that it is not accepted yet. Otherwise a node that is paused right after could serve without it for
	// ForceAfter longer.
	if n.certBasis.After(basis) && n.inForce.Seq == n.staged() {
		basis = n.certBasis
	}
	return basis.Add(n.options.StaleAfter)
}

// mergeTableRead records that a read of the table that began at basis showed no committed log entry after seq.
func (n *Node) mergeTableRead(basis time.Time, seq uint64) {
	if n.staged() < seq || len(n.states) == 0 {
		return // this node lacks a committed log entry
	}
	if basis.After(n.tableReadAt) {
		n.tableReadAt = basis
	}
	n.endRecovery(basis)
}

// mergeCert records a majority's certificate.
func (n *Node) mergeCert(v quorumCert) {
	// Acknowledgements arrive one by one, so the first certificate of a heartbeat covers fewer data centres than the last
	// one of the heartbeat before. If it replaced that one too early, the other data centres would have no certificate.
	wider := (v.all || !n.newestCert.all) && len(v.centres) >= len(n.newestCert.centres)
	if v.basis.Sub(n.newestCert.basis) > n.options.parentTimeout() || wider && !v.basis.Before(n.newestCert.basis) {
		n.newestCert = v
	}
	mine := v.all || slices.Contains(v.centres, n.self.GetDataCentre())
	if !mine || len(n.states) == 0 || n.staged() < v.seq {
		return
	}
	if v.basis.After(n.certBasis) {
		n.certBasis = v.basis
	}
	n.endRecovery(v.basis.Add(-restartWait))
}

// endRecovery ends the recovery of a restarted node, which has lost its record of the log entries that it acknowledged. The
// basis must be later than the node's start: a log entry that the previous incarnation acknowledged was committed before
// that, so a read of the table shows it, and every majority contains a node that acknowledged it too. A majority counts only
// once the acknowledgements of the previous incarnation have expired everywhere (restartWait). Until then, they may be
// combined with those of nodes that received the log entry only after they had acknowledged the heartbeat behind this
// certificate.
func (n *Node) endRecovery(basis time.Time) {
	if basis.Before(n.startedAt) {
		return
	}
	n.fire(evRecovered)
}

func (n *Node) publish() {
	until := n.freshUntil()
	if n.now.Before(until) {
		n.fire(evFresh)
	} else {
		n.fire(evStale)
	}
	v := &View{
		InForce:     n.inForce,
		FreshUntil:  until,
		TableReadAt: n.tableReadAt,
		Committed:   n.committed,
		Accepted:    n.accepted,
		Staged:      n.staged(),
		Pending:     n.pendingNames(),
		Newest:      n.head(),
		floors:      n.floors,
	}
	if n.view != nil && sameView(v, n.view) {
		return
	}
	n.view = v
	n.emit(&Publish{v})
}

func sameView(a, b *View) bool {
	same := a.InForce == b.InForce && a.FreshUntil.Equal(b.FreshUntil) && a.TableReadAt.Equal(b.TableReadAt)
	same = same && a.Committed == b.Committed && a.Accepted == b.Accepted && a.Staged == b.Staged
	return same && a.Newest == b.Newest && slices.Equal(a.Pending, b.Pending)
}
