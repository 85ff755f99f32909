package liveness

import (
	"slices"
	"time"
)

const (
	// spreadFor is for how long a member passes a rumor on.
	spreadFor = time.Second
	// toldAtOnce is how many others are told out of turn of what is new, and urgentRounds how many times. Each of them does
	// the same, so that a thousand members know it after some rounds, and hardly one is left out.
	toldAtOnce   = 4
	urgentRounds = 2
)

// Rumor says that a life has ended or not, by the newest sign of it that is known. Of two rumors of one life the one with
// the later sequence holds, and of two with one sequence the one that says that it has ended.
type Rumor struct {
	// IncarnationHash is a hash of address and incarnation.
	IncarnationHash uint32
	Sequence        uint64
	Dead            bool
}

// rumor is one that is passed on.
type rumor struct{ until time.Time }

// spread passes on what is now known of a member.
func (d *Detector) spread(now time.Time, a Address) {
	d.rumors[a] = rumor{now.Add(spreadFor)}
	d.urgent = urgentRounds
}

// UrgentTargets returns whom to tell the rumors now, out of turn; nobody if there are no new ones.
func (d *Detector) UrgentTargets() []Address {
	if d.urgent == 0 {
		return nil
	}
	d.urgent--
	return d.some(toldAtOnce, func(Address, *member) bool { return true })
}

// Rumors returns what to tell others, at most the given number, chosen at random.
func (d *Detector) Rumors(most int) []Rumor {
	var about []Address
	for a := range d.rumors {
		about = append(about, a)
	}
	slices.Sort(about)
	d.rand.Shuffle(len(about), func(i, j int) { about[i], about[j] = about[j], about[i] })
	var out []Rumor
	for _, a := range about[:min(most, len(about))] {
		out = append(out, d.RumorOf(a))
	}
	return out
}

// RumorOf returns what is known of a member as a rumor; the zero Rumor if nothing is.
func (d *Detector) RumorOf(a Address) Rumor {
	m := d.members[a]
	if m == nil {
		return Rumor{}
	}
	return Rumor{m.hash, m.sequence, m.dead}
}

// MergeRumors takes in what another member tells. Lives that are not known are passed over.
//
// The last sign of a member reaches some others only, which must not refute the verdict of those that had an earlier one. So a
// sign refutes nothing if it came before the member could have been asked.
func (d *Detector) MergeRumors(now time.Time, told []Rumor) {
	for _, r := range told {
		a, known := d.byHash[r.IncarnationHash]
		if !known {
			continue
		}
		m := d.members[a]
		switch {
		case r.Dead && (r.Sequence >= m.sequence || now.Sub(m.lastSeen) >= inquiryTime):
			m.sequence = max(m.sequence, r.Sequence)
			if !m.dead {
				d.ends(now, a, m, true)
			}
		case r.Dead && !m.dead:
			d.refute(now, a)
		case !r.Dead && r.Sequence > m.sequence:
			m.sequence = r.Sequence
			d.lives(now, a, m, true)
		}
	}
}

// refute passes on that a member was heard after the sign by which others take it for ended.
func (d *Detector) refute(now time.Time, a Address) {
	if _, spreading := d.rumors[a]; !spreading {
		d.spread(now, a)
	}
}
