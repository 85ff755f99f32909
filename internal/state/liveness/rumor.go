package liveness

import (
	"slices"
	"time"
)

const (
	// gossipFor is the time for which a member gossips a rumor.
	gossipFor = time.Second
	// urgentFanout is the number of members to which a new rumor is sent out of schedule, and urgentRounds how many
	// times. Each receiver does the same, so that a thousand members have the rumor after a few rounds and hardly one
	// is missed.
	urgentFanout = 4
	urgentRounds = 2
)

// Rumor reports that an incarnation is dead or alive, as of its newest known sequence. Of two rumors about one
// incarnation the one with the higher sequence applies; at equal sequences the one with Dead set applies.
type Rumor struct {
	// IncarnationHash is a hash of address and incarnation.
	IncarnationHash uint32
	Sequence        uint64
	Dead            bool
}

// gossipEntry is a rumor that is being gossiped.
type gossipEntry struct{ until time.Time }

// gossip starts to gossip the state of a member.
func (d *Detector) gossip(now time.Time, a Address) {
	d.rumors[a] = gossipEntry{now.Add(gossipFor)}
	d.urgentLeft = urgentRounds
}

// UrgentTargets returns the members to which the rumors are sent now, out of schedule; none if there are no new ones.
func (d *Detector) UrgentTargets() []Address {
	if d.urgentLeft == 0 {
		return nil
	}
	d.urgentLeft--
	return d.sample(urgentFanout, func(Address, *member) bool { return true })
}

// Rumors returns the rumors to send, at most limit of them, chosen at random.
func (d *Detector) Rumors(limit int) []Rumor {
	var addresses []Address
	for a := range d.rumors {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	d.rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var out []Rumor
	for _, a := range addresses[:min(limit, len(addresses))] {
		out = append(out, d.RumorOf(a))
	}
	return out
}

// RumorOf returns the state of a member as a rumor; the zero Rumor if the member is unknown.
func (d *Detector) RumorOf(a Address) Rumor {
	m := d.members[a]
	if m == nil {
		return Rumor{}
	}
	return Rumor{m.hash, m.sequence, m.dead}
}

// MergeRumors merges rumors from another member. Rumors about unknown incarnations are ignored.
//
// The last message of a member before its death may reach only some of the others, and these must not refute the death
// declaration of a member that received only an earlier one. So a message refutes nothing if it was received at least
// minRoundTime ago: the declaring member may have started its probes after it.
func (d *Detector) MergeRumors(now time.Time, rumors []Rumor) {
	for _, r := range rumors {
		a, known := d.byHash[r.IncarnationHash]
		if !known {
			continue
		}
		m := d.members[a]
		switch {
		case r.Dead && (r.Sequence >= m.sequence || now.Sub(m.lastSeen) >= minRoundTime):
			m.sequence = max(m.sequence, r.Sequence)
			if !m.dead {
				d.markDead(now, a, m, true)
			}
		case r.Dead && !m.dead:
			d.refute(now, a)
		case !r.Dead && r.Sequence > m.sequence:
			m.sequence = r.Sequence
			d.markAlive(now, a, m, true)
		}
	}
}

// refute gossips that a member was seen after the sequence at which others declared it dead.
func (d *Detector) refute(now time.Time, a Address) {
	if _, spreading := d.rumors[a]; !spreading {
		d.gossip(now, a)
	}
}
