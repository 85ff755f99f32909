package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Options are the settings of a MemberList.
type Options struct {
	// SlotEntries is how many entries a slot tells of itself; FarEntries of them are in other data centres.
	SlotEntries, FarEntries int
	// Peers is how many entries an entry tells of itself; FarPeers of them are in other data centres.
	Peers, FarPeers int
	// SilentDigests is how many digests in a row may be missing before a node is suspect; LostDigests before it is gone.
	SilentDigests, LostDigests int
	// MinInterval is the shortest time between two digests to one node, MaxInterval the longest.
	MinInterval, MaxInterval time.Duration
	// BytesPerSecond is what sending digests may cost; the time between digests grows to keep it.
	BytesPerSecond float64
}

// Defaults returns the settings in use.
func Defaults() Options {
	return Options{
		SlotEntries: 8, FarEntries: 2,
		Peers: 8, FarPeers: 2,
		SilentDigests: 4, LostDigests: 20,
		MinInterval: 250 * time.Millisecond, MaxInterval: 2 * time.Second,
		BytesPerSecond: 2000,
	}
}

// Identity is who a node is, as its settings or the configuration log name it.
type Identity struct {
	Name       ids.Node
	Role       cardamomyokev1.NodeRole
	DataCentre ids.DataCentre
	// Digests is the address where the node takes digests.
	Digests string
}

// Node is another node as it is known now.
type Node struct {
	Name       ids.Node
	Role       cardamomyokev1.NodeRole
	DataCentre ids.DataCentre
	Digests    string
	// HTTP is where it takes requests; empty until it was heard.
	HTTP        string
	Incarnation ids.Incarnation
	State       charts.State
	LastSeen    time.Time
}

// States of the member chart that others ask for.
const (
	StateLive    charts.State = "live"
	StateSuspect charts.State = "suspect"
	StateLeaving charts.State = "leaving"
	StateDead    charts.State = "gone"
)

const (
	eventHeard   charts.Event = "heard"
	eventLeaving charts.Event = "heard-leaving"
	eventSilent  charts.Event = "silent"
	eventLost    charts.Event = "lost"
)

var chart = charts.MustLoad("member")

// Change is a change of a node's state, for logs and metrics.
type Change struct {
	Node     ids.Node
	From, To charts.State
}

// member is what the table keeps of a node.
type member struct {
	Node
	sequence uint64
	machine  charts.Machine
	since    time.Time
	listed   bool
}

// MemberList knows the other nodes. It belongs to the control goroutine.
type MemberList struct {
	opts    Options
	self    Identity
	members map[ids.Node]*member
	sent    map[string]time.Time
	changes []Change
	last    time.Time
	// chosen is whom to tell, as long as changed is not set.
	chosen  []choice
	changed bool
	probed  time.Time
	turn    int
}

// New returns a table that knows nobody.
func New(self Identity, opts Options, now time.Time) *MemberList {
	return &MemberList{
		opts: opts, self: self, members: map[ids.Node]*member{}, sent: map[string]time.Time{}, last: now, changed: true,
		// Nodes that started together would otherwise all probe the same entry at the same time.
		turn: int(xxhash.Sum64String(string(self.Name)) % math.MaxInt32),
	}
}

// SetRoster replaces the nodes that are expected. A node that is no longer named stays for as long as it is heard.
func (l *MemberList) SetRoster(list []Identity, now time.Time) {
	l.changed = true
	for _, m := range l.members {
		m.listed = false
	}
	for _, r := range list {
		if r.Name == l.self.Name || r.Digests == "" {
			continue
		}
		m := l.member(r.Name, now)
		m.listed = true
		if m.Incarnation == "" {
			m.Role, m.DataCentre, m.Digests = r.Role, r.DataCentre, r.Digests
		}
	}
}

func (l *MemberList) member(name ids.Node, now time.Time) *member {
	m, ok := l.members[name]
	if !ok {
		m = &member{Node: Node{Name: name}, machine: chart.Start(), since: now}
		l.members[name] = m
	}
	return m
}

// Receive takes in a digest and reports whether it is news: a late or doubled one is not.
func (l *MemberList) Receive(d *cardamomyokev1.Digest, now time.Time) bool {
	name := ids.Node(d.GetNode())
	if name == l.self.Name {
		return false
	}
	m := l.member(name, now)
	if !m.older(d) {
		return false
	}
	if string(m.Incarnation) != d.GetIncarnation() {
		// A new life owes nothing to the last one's state: a leaving node that was replaced under its name is live.
		m.machine = chart.Start()
		l.changed = true
	}
	m.Incarnation = ids.Incarnation(d.GetIncarnation())
	m.sequence = d.GetSequence()
	m.Role = d.GetRole()
	m.DataCentre = ids.DataCentre(d.GetDataCentre())
	m.Digests = d.GetDigestAddress()
	m.HTTP = d.GetHttpAddress()
	m.LastSeen = now
	if d.GetState() == cardamomyokev1.NodeState_NODE_STATE_LEAVING {
		l.fire(m, eventLeaving, now)
	} else {
		l.fire(m, eventHeard, now)
	}
	return true
}

// older reports whether d is news. Incarnations sort by time of birth, so a late digest of an earlier life never
// replaces one of a later life.
func (m *member) older(d *cardamomyokev1.Digest) bool {
	if string(m.Incarnation) != d.GetIncarnation() {
		return string(m.Incarnation) < d.GetIncarnation()
	}
	return d.GetSequence() > m.sequence
}

func (l *MemberList) fire(m *member, ev charts.Event, now time.Time) {
	from := m.machine.State()
	// The chart declares every event that this package fires, so Fire cannot fail.
	_, _ = m.machine.Fire(ev)
	to := m.machine.State()
	m.State = to
	if from != to {
		l.changed = true
		m.since = now
		l.changes = append(l.changes, Change{m.Name, from, to})
	}
}

// Tick judges silence and returns what changed since the last call.
func (l *MemberList) Tick(now time.Time) []Change {
	l.forgiveOwnPause(now)
	every := l.opts.MaxInterval
	for name, m := range l.members {
		quiet := now.Sub(m.lastSeenOrSince())
		if quiet > time.Duration(l.opts.SilentDigests)*every {
			l.fire(m, eventSilent, now)
		}
		if quiet > time.Duration(l.opts.LostDigests)*every {
			l.fire(m, eventLost, now)
		}
		if m.machine.State() == StateDead && !m.listed {
			l.changed = true
			delete(l.members, name)
		}
	}
	l.last = now
	out := l.changes
	l.changes = nil
	return out
}

func (m *member) lastSeenOrSince() time.Time {
	if m.LastSeen.IsZero() {
		return m.since
	}
	return m.LastSeen
}

// ownPause is a time between two ticks that means that this process itself stood still.
const ownPause = time.Second

// forgiveOwnPause moves what was heard by the time that this process stood still. Without it a node that was paused
// wakes up, takes everybody for lost and sends callers nowhere, although it is the one that was away.
func (l *MemberList) forgiveOwnPause(now time.Time) {
	gap := now.Sub(l.last)
	if gap < ownPause {
		return
	}
	for _, m := range l.members {
		m.since = m.since.Add(gap)
		if !m.LastSeen.IsZero() {
			m.LastSeen = m.LastSeen.Add(gap)
		}
	}
}

// Nodes returns all known nodes, sorted by name.
func (l *MemberList) Nodes() []Node {
	out := make([]Node, 0, len(l.members))
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		out = append(out, l.members[name].Node)
	}
	return out
}

// Entries returns how many entries there are that do not leave, this one included if it is one. Those that the roster
// names count even if they are not heard: of 360 entries one hears a few neighbours, and if it took the others for gone
// it would grant clients, and itself, a part of everything that is ten times too large.
func (l *MemberList) Entries() int {
	n := 0
	for _, m := range l.members {
		state := m.machine.State()
		if m.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY && state != StateLeaving {
			n++
		}
	}
	if l.self.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY {
		n++
	}
	return n
}

// Incarnation returns the life of the node that takes digests at address, if it was heard.
func (l *MemberList) Incarnation(address string) ids.Incarnation {
	for _, m := range l.members {
		if m.Digests == address {
			return m.Incarnation
		}
	}
	return ""
}

func byName(a, b *member) int { return cmp.Compare(a.Name, b.Name) }
