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

// Options configures a MemberList.
type Options struct {
	// SlotEntries is the number of entries to which a slot sends digests; RemoteEntries of them are in other data
	// centres.
	SlotEntries, RemoteEntries int
	// Peers is the number of entries to which an entry sends digests; RemotePeers of them are in other data centres.
	Peers, RemotePeers int
	// SuspectAfterDigests is the number of consecutive missing digests after which a node is suspect, and
	// DeadAfterDigests the number after which it is dead. One is counted per MaxInterval without a digest.
	SuspectAfterDigests, DeadAfterDigests int
	// MinInterval and MaxInterval bound the time between two digests to one node.
	MinInterval, MaxInterval time.Duration
	// BytesPerSecond is the budget for sending digests; the interval between digests grows to stay within it.
	BytesPerSecond float64
}

// Defaults returns the default options.
func Defaults() Options {
	return Options{
		SlotEntries: 8, RemoteEntries: 2,
		Peers: 8, RemotePeers: 2,
		SuspectAfterDigests: 4, DeadAfterDigests: 20,
		MinInterval: 250 * time.Millisecond, MaxInterval: 2 * time.Second,
		BytesPerSecond: 2000,
	}
}

// Identity identifies a node as its settings or the configuration log name it.
type Identity struct {
	Name       ids.Node
	Role       cardamomyokev1.NodeRole
	DataCentre ids.DataCentre
	// DigestAddress is the address at which the node receives digests.
	DigestAddress string
}

// Node is the current state of another node.
type Node struct {
	Name          ids.Node
	Role          cardamomyokev1.NodeRole
	DataCentre    ids.DataCentre
	DigestAddress string
	// HTTP is the address at which the node serves requests; empty until its first digest arrives.
	HTTP        string
	Incarnation ids.Incarnation
	State       charts.State
	LastSeen    time.Time
}

// The states of the member chart that other packages and tests use.
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

// member is the recorded state of one node.
type member struct {
	Node
	sequence uint64
	machine  charts.Machine
	since    time.Time
	inRoster bool
}

// MemberList tracks the other nodes. It belongs to the control goroutine.
type MemberList struct {
	opts     Options
	self     Identity
	members  map[ids.Node]*member
	lastSent map[string]time.Time
	changes  []Change
	lastTick time.Time
	// targets holds the receivers of digests; it is recomputed if targetsOutdated is set.
	targets         []weightedTarget
	targetsOutdated bool
	lastProbe       time.Time
	probeTurn       int
}

// New returns an empty list.
func New(self Identity, opts Options, now time.Time) *MemberList {
	return &MemberList{
		opts: opts, self: self, members: map[ids.Node]*member{}, lastSent: map[string]time.Time{}, lastTick: now, targetsOutdated: true,
		// Nodes that started at the same time would otherwise all probe the same entry at the same time.
		probeTurn: int(xxhash.Sum64String(string(self.Name)) % math.MaxInt32),
	}
}

// SetRoster replaces the roster. A node that is no longer in it stays until it is dead.
func (l *MemberList) SetRoster(list []Identity, now time.Time) {
	l.targetsOutdated = true
	for _, m := range l.members {
		m.inRoster = false
	}
	for _, r := range list {
		if r.Name == l.self.Name || r.DigestAddress == "" {
			continue
		}
		m := l.member(r.Name, now)
		m.inRoster = true
		if m.Incarnation == "" {
			m.Role, m.DataCentre, m.DigestAddress = r.Role, r.DataCentre, r.DigestAddress
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

// Receive processes a digest and reports whether it is newer than the recorded state; a late or duplicate one is not.
func (l *MemberList) Receive(d *cardamomyokev1.Digest, now time.Time) bool {
	name := ids.Node(d.GetNode())
	if name == l.self.Name {
		return false
	}
	m := l.member(name, now)
	if !m.isOlderThan(d) {
		return false
	}
	if string(m.Incarnation) != d.GetIncarnation() {
		// The new incarnation does not inherit the state of the old one: a leaving node that was replaced under its
		// name is live.
		m.machine = chart.Start()
		l.targetsOutdated = true
	}
	m.Incarnation = ids.Incarnation(d.GetIncarnation())
	m.sequence = d.GetSequence()
	m.Role = d.GetRole()
	m.DataCentre = ids.DataCentre(d.GetDataCentre())
	m.DigestAddress = d.GetDigestAddress()
	m.HTTP = d.GetHttpAddress()
	m.LastSeen = now
	if d.GetState() == cardamomyokev1.NodeState_NODE_STATE_LEAVING {
		l.fire(m, eventLeaving, now)
	} else {
		l.fire(m, eventHeard, now)
	}
	return true
}

// isOlderThan reports whether the recorded state is older than d. Incarnations sort by start time, so a late digest of
// an earlier incarnation never replaces one of a later incarnation.
func (m *member) isOlderThan(d *cardamomyokev1.Digest) bool {
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
		l.targetsOutdated = true
		m.since = now
		l.changes = append(l.changes, Change{m.Name, from, to})
	}
}

// Tick marks nodes without digests as suspect or dead and returns the changes since the last call.
func (l *MemberList) Tick(now time.Time) []Change {
	l.compensateOwnPause(now)
	interval := l.opts.MaxInterval
	for name, m := range l.members {
		quiet := now.Sub(m.lastSeenOrSince())
		if quiet > time.Duration(l.opts.SuspectAfterDigests)*interval {
			l.fire(m, eventSilent, now)
		}
		if quiet > time.Duration(l.opts.DeadAfterDigests)*interval {
			l.fire(m, eventLost, now)
		}
		if m.machine.State() == StateDead && !m.inRoster {
			l.targetsOutdated = true
			delete(l.members, name)
		}
	}
	l.lastTick = now
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

// pauseThreshold is the time between two ticks from which the list assumes that its own process was paused.
const pauseThreshold = time.Second

// compensateOwnPause moves the recorded times forward by the time for which this process was paused. Without it, a node
// that was paused would classify all others as dead when it resumes and return no addresses to callers, although the
// node itself was unresponsive.
func (l *MemberList) compensateOwnPause(now time.Time) {
	gap := now.Sub(l.lastTick)
	if gap < pauseThreshold {
		return
	}
	for _, m := range l.members {
		m.since = m.since.Add(gap)
		if !m.LastSeen.IsZero() {
			m.LastSeen = m.LastSeen.Add(gap)
		}
	}
}

// Nodes returns all nodes, sorted by name.
func (l *MemberList) Nodes() []Node {
	out := make([]Node, 0, len(l.members))
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		out = append(out, l.members[name].Node)
	}
	return out
}

// EntryCount returns the number of entries that are not leaving, including this node if it is an entry. Entries in the
// roster count even if no digest of them arrives: of 360 entries, one receives digests from a few neighbours only, and
// if it classified the others as dead, it would grant clients and itself a share of each limit that is ten times too
// large.
func (l *MemberList) EntryCount() int {
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

// Incarnation returns the incarnation of the node that receives digests at address; empty if no digest of it has
// arrived.
func (l *MemberList) Incarnation(address string) ids.Incarnation {
	for _, m := range l.members {
		if m.DigestAddress == address {
			return m.Incarnation
		}
	}
	return ""
}

func byName(a, b *member) int { return cmp.Compare(a.Name, b.Name) }
