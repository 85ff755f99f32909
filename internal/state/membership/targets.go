package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

const (
	// digestBytes is the size of one digest on the wire with its headers, for the budget.
	digestBytes = 190
	// slotIntervalFactor is the interval of an entry's digests to a slot as a multiple of that to another entry: the
	// slot needs only the entry's incarnation and state, and no load.
	slotIntervalFactor = 4
)

// Target is a node to which a digest is sent.
type Target struct {
	Address string
	// Incarnation is the receiver's incarnation, if a digest of it has arrived. A slot uses it to report to an entry
	// that entry's own share of the load.
	Incarnation ids.Incarnation
}

// DueTargets returns the nodes to which a digest is due at now. If all is set, every target is due, for an update that
// cannot wait.
func (l *MemberList) DueTargets(seeds []string, now time.Time, all bool) []Target {
	chosen := l.currentTargets(seeds)
	baseInterval := l.interval(chosen)
	out := l.probe(now)
	for _, c := range chosen {
		wait := time.Duration(float64(baseInterval) * c.intervalFactor)
		if all || now.Sub(l.lastSent[c.Address]) >= wait {
			l.lastSent[c.Address] = now
			out = append(out, c.Target)
		}
	}
	l.pruneLastSent(chosen)
	return out
}

// Interval returns the shortest interval between two digests to one node. Some targets have a multiple of it.
func (l *MemberList) Interval(seeds []string) time.Duration {
	return l.interval(l.currentTargets(seeds))
}

// SlotInterval returns the time between two digests from a slot to one entry, which depends on the number of entries.
func (l *MemberList) SlotInterval() time.Duration {
	return l.interval(make([]weightedTarget, min(l.EntryCount(), l.opts.SlotEntries)))
}

type weightedTarget struct {
	Target
	intervalFactor float64
}

// interval returns the interval that stays within the budget: with more receivers, digests are sent less often.
func (l *MemberList) interval(chosen []weightedTarget) time.Duration {
	weight := 0.0
	for _, c := range chosen {
		weight += 1 / max(1, c.intervalFactor)
	}
	needed := time.Duration(weight * digestBytes / l.opts.BytesPerSecond * float64(time.Second))
	return min(l.opts.MaxInterval, max(l.opts.MinInterval, needed))
}

// currentTargets returns the receivers of digests. They are recomputed only after a change.
func (l *MemberList) currentTargets(seeds []string) []weightedTarget {
	if !l.targetsOutdated {
		return l.targets
	}
	l.targetsOutdated = false
	if l.self.Role == cardamomyokev1.NodeRole_NODE_ROLE_SLOT {
		l.targets = l.withSeeds(l.slotTargets(), seeds)
	} else {
		l.targets = l.withSeeds(l.entryTargets(), seeds)
	}
	return l.targets
}

// probeInterval is the time between two digests to nodes that are suspect or dead.
const probeInterval = 2 * time.Second

// probe returns one of the roster's entries that are suspect or dead, each in turn. Two regions that are partitioned
// for minutes classify each other as dead and send each other nothing; without probes they would stay apart after the
// partition ends.
func (l *MemberList) probe(now time.Time) []Target {
	if now.Sub(l.lastProbe) < probeInterval {
		return nil
	}
	l.lastProbe = now
	var silent []*member
	for _, m := range l.members {
		state := m.machine.State()
		entry := m.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY
		if entry && m.inRoster && (state == StateDead || state == StateSuspect) {
			silent = append(silent, m)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	slices.SortFunc(silent, byName)
	l.probeTurn++
	return []Target{{silent[l.probeTurn%len(silent)].DigestAddress, ""}}
}

// slotTargets returns the entries to which this slot sends digests: the first ones by rendezvous hash, so that an added
// or removed entry moves few slots.
func (l *MemberList) slotTargets() []weightedTarget {
	local, remote := l.reachableEntries()
	l.rendezvous(local)
	l.rendezvous(remote)
	remote = remote[:min(len(remote), l.opts.RemoteEntries)]
	local = local[:min(len(local), l.opts.SlotEntries-len(remote))]
	return weightedTargets(append(local, remote...), 1)
}

// entryTargets returns the neighbours on the ring of entries, a few entries in other data centres and the slots whose
// digests this entry receives. As long as there are no such slots, it includes some from the roster, so that they learn
// of this entry.
func (l *MemberList) entryTargets() []weightedTarget {
	local, remote := l.reachableEntries()
	l.rendezvous(remote)
	remote = remote[:min(len(remote), l.opts.RemotePeers)]
	local = l.ring(local, l.opts.Peers-len(remote))
	return append(weightedTargets(append(local, remote...), 1), weightedTargets(l.slots(), slotIntervalFactor)...)
}

func weightedTargets(list []*member, factor float64) []weightedTarget {
	out := make([]weightedTarget, 0, len(list))
	for _, m := range list {
		out = append(out, weightedTarget{Target{m.DigestAddress, m.Incarnation}, factor})
	}
	return out
}

// reachableEntries returns the other entries that are neither suspect nor dead, split by data centre and sorted by
// name.
func (l *MemberList) reachableEntries() (local, remote []*member) {
	for _, m := range l.members {
		state := m.machine.State()
		if m.Role != cardamomyokev1.NodeRole_NODE_ROLE_ENTRY || state == StateDead || state == StateSuspect {
			continue
		}
		if m.DataCentre == l.self.DataCentre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	slices.SortFunc(local, byName)
	slices.SortFunc(remote, byName)
	return local, remote
}

// slots returns the slots whose digests this entry receives, or the first ones by rendezvous hash if there are none.
func (l *MemberList) slots() []*member {
	var received, expected []*member
	for _, m := range l.members {
		state := m.machine.State()
		switch {
		case m.Role != cardamomyokev1.NodeRole_NODE_ROLE_SLOT || state == StateDead:
		case m.LastSeen.IsZero():
			expected = append(expected, m)
		default:
			received = append(received, m)
		}
	}
	if len(received) > 0 {
		slices.SortFunc(received, byName)
		return received
	}
	slices.SortFunc(expected, byName)
	l.rendezvous(expected)
	return expected[:min(len(expected), 2*l.opts.SlotEntries)]
}

// rendezvous sorts list by the hash of this node's name with that of each member.
func (l *MemberList) rendezvous(list []*member) {
	slices.SortStableFunc(list, func(a, b *member) int { return cmp.Compare(l.hash(b.Name), l.hash(a.Name)) })
}

func (l *MemberList) hash(other ids.Node) uint64 {
	return xxhash.Sum64String(string(l.self.Name) + "\x00" + string(other))
}

// ring returns the n nearest neighbours of this node on a ring sorted by name, half of them on each side. On a ring
// each entry receives digests from as many others as it sends to, so callers are spread evenly.
func (l *MemberList) ring(list []*member, n int) []*member {
	if len(list) <= n {
		return list
	}
	at, _ := slices.BinarySearchFunc(list, l.self.Name, func(m *member, name ids.Node) int { return cmp.Compare(m.Name, name) })
	var out []*member
	for i := range n {
		step := i/2 + 1
		index := at + step - 1
		if i%2 == 1 {
			index = at - step
		}
		out = append(out, list[((index%len(list))+len(list))%len(list)])
	}
	return out
}

// withSeeds adds addresses from the settings while list is shorter than SlotEntries.
func (l *MemberList) withSeeds(list []weightedTarget, seeds []string) []weightedTarget {
	known := map[string]bool{l.self.DigestAddress: true}
	for _, c := range list {
		known[c.Address] = true
	}
	for _, s := range seeds {
		if !known[s] && len(list) < l.opts.SlotEntries {
			known[s] = true
			list = append(list, weightedTarget{Target{Address: s}, 1})
		}
	}
	return list
}

// pruneLastSent drops the sending times of nodes that are no longer targets, once there are too many.
func (l *MemberList) pruneLastSent(chosen []weightedTarget) {
	if len(l.lastSent) <= 2*len(chosen)+l.opts.Peers {
		return
	}
	keep := make(map[string]time.Time, len(chosen))
	for _, c := range chosen {
		if at, ok := l.lastSent[c.Address]; ok {
			keep[c.Address] = at
		}
	}
	l.lastSent = keep
}
