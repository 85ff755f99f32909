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
	// digestBytes is what one digest costs on the wire with its headers, for the budget.
	digestBytes = 190
	// slowFactor is how many times rarer an entry tells a slot than another entry: the slot needs the entry's
	// incarnation and its life, and no load.
	slowFactor = 4
)

// Target is one node to send a digest to.
type Target struct {
	Address string
	// Incarnation is the receiver's life, if it was heard; a slot tells an entry its own part of the load by it.
	Incarnation ids.Incarnation
}

// DueTargets returns whom to send a digest now. now tells the time; all makes everybody due, for news that cannot wait.
func (l *MemberList) DueTargets(seeds []string, now time.Time, all bool) []Target {
	chosen := l.choose(seeds)
	every := l.interval(chosen)
	out := l.probe(now)
	for _, c := range chosen {
		wait := time.Duration(float64(every) * c.factor)
		if all || now.Sub(l.sent[c.Address]) >= wait {
			l.sent[c.Address] = now
			out = append(out, c.Target)
		}
	}
	l.forgetSent(chosen)
	return out
}

// Interval returns the time between two digests to one node of the closest kind.
func (l *MemberList) Interval(seeds []string) time.Duration { return l.interval(l.choose(seeds)) }

// SlotInterval returns the time between two digests of a slot to one entry, which follows from the number of entries.
func (l *MemberList) SlotInterval() time.Duration {
	return l.interval(make([]choice, min(l.Entries(), l.opts.SlotEntries)))
}

type choice struct {
	Target
	factor float64
}

// interval keeps the budget: more receivers are told more rarely.
func (l *MemberList) interval(chosen []choice) time.Duration {
	weight := 0.0
	for _, c := range chosen {
		weight += 1 / max(1, c.factor)
	}
	needed := time.Duration(weight * digestBytes / l.opts.BytesPerSecond * float64(time.Second))
	return min(l.opts.MaxInterval, max(l.opts.MinInterval, needed))
}

// choose returns whom to tell; it is worked out again only after a change.
func (l *MemberList) choose(seeds []string) []choice {
	if !l.changed {
		return l.chosen
	}
	l.changed = false
	if l.self.Role == cardamomyokev1.NodeRole_NODE_ROLE_SLOT {
		l.chosen = l.withSeeds(l.slotChoices(), seeds)
	} else {
		l.chosen = l.withSeeds(l.entryChoices(), seeds)
	}
	return l.chosen
}

// probeInterval is the time between two digests to nodes that are suspect or gone.
const probeInterval = 2 * time.Second

// probe returns one node that the roster names and that is not heard, each in its turn. Two regions that lost each
// other for minutes take each other for gone and tell each other nothing; without probes they would stay parted after
// the network is whole again.
func (l *MemberList) probe(now time.Time) []Target {
	if now.Sub(l.probed) < probeInterval {
		return nil
	}
	l.probed = now
	var lost []*member
	for _, m := range l.members {
		state := m.machine.State()
		entry := m.Role == cardamomyokev1.NodeRole_NODE_ROLE_ENTRY
		if entry && m.listed && (state == StateDead || state == StateSuspect) {
			lost = append(lost, m)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	slices.SortFunc(lost, byName)
	l.turn++
	return []Target{{lost[l.turn%len(lost)].Digests, ""}}
}

// slotChoices are the entries that this slot tells of itself: the first ones in the order of the rendezvous hash, so
// that an entry that comes or goes moves few slots.
func (l *MemberList) slotChoices() []choice {
	near, far := l.entries()
	l.rendezvous(near)
	l.rendezvous(far)
	far = far[:min(len(far), l.opts.FarEntries)]
	near = near[:min(len(near), l.opts.SlotEntries-len(far))]
	return choices(append(near, far...), 1)
}

// entryChoices are the neighbours on the ring of entries and the slots that this entry hears; as long as it hears none,
// it tells some that the roster names, so that they learn of it.
func (l *MemberList) entryChoices() []choice {
	near, far := l.entries()
	l.rendezvous(far)
	far = far[:min(len(far), l.opts.FarPeers)]
	near = l.ring(near, l.opts.Peers-len(far))
	return append(choices(append(near, far...), 1), choices(l.slots(), slowFactor)...)
}

func choices(list []*member, factor float64) []choice {
	out := make([]choice, 0, len(list))
	for _, m := range list {
		out = append(out, choice{Target{m.Digests, m.Incarnation}, factor})
	}
	return out
}

// entries returns the other entries that can be told, split by data centre and sorted by name.
func (l *MemberList) entries() (near, far []*member) {
	for _, m := range l.members {
		state := m.machine.State()
		if m.Role != cardamomyokev1.NodeRole_NODE_ROLE_ENTRY || state == StateDead || state == StateSuspect {
			continue
		}
		if m.DataCentre == l.self.DataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	slices.SortFunc(near, byName)
	slices.SortFunc(far, byName)
	return near, far
}

// slots returns the slots that this entry hears, or the first ones by rendezvous if it hears none.
func (l *MemberList) slots() []*member {
	var heard, expected []*member
	for _, m := range l.members {
		state := m.machine.State()
		switch {
		case m.Role != cardamomyokev1.NodeRole_NODE_ROLE_SLOT || state == StateDead:
		case m.LastSeen.IsZero():
			expected = append(expected, m)
		default:
			heard = append(heard, m)
		}
	}
	if len(heard) > 0 {
		slices.SortFunc(heard, byName)
		return heard
	}
	slices.SortFunc(expected, byName)
	l.rendezvous(expected)
	return expected[:min(len(expected), 2*l.opts.SlotEntries)]
}

// rendezvous sorts list by the hash of each name with this node's.
func (l *MemberList) rendezvous(list []*member) {
	slices.SortStableFunc(list, func(a, b *member) int { return cmp.Compare(l.hash(b.Name), l.hash(a.Name)) })
}

func (l *MemberList) hash(other ids.Node) uint64 {
	return xxhash.Sum64String(string(l.self.Name) + "\x00" + string(other))
}

// ring returns the n nearest neighbours of this node in a ring of names, half of them on each side. On a ring each
// entry is told by exactly as many as it tells, so callers are spread evenly.
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

// withSeeds adds the addresses from the settings as long as few nodes are known by other means.
func (l *MemberList) withSeeds(list []choice, seeds []string) []choice {
	known := map[string]bool{l.self.Digests: true}
	for _, c := range list {
		known[c.Address] = true
	}
	for _, s := range seeds {
		if !known[s] && len(list) < l.opts.SlotEntries {
			known[s] = true
			list = append(list, choice{Target{Address: s}, 1})
		}
	}
	return list
}

// forgetSent keeps the memory of sending times to those that are still told.
func (l *MemberList) forgetSent(chosen []choice) {
	if len(l.sent) <= 2*len(chosen)+l.opts.Peers {
		return
	}
	keep := make(map[string]time.Time, len(chosen))
	for _, c := range chosen {
		if at, ok := l.sent[c.Address]; ok {
			keep[c.Address] = at
		}
	}
	l.sent = keep
}
