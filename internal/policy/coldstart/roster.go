package coldstart

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/ratelimit"
)

const (
	// minFresh is the least time for which a member counts as heard: three digests and a tick.
	minFresh = 700 * time.Millisecond
	// freshRounds is the number of intervals within which most members are heard. Gateways that start together send to the
	// same members at the same time, so all messages for one member may come at once, an interval apart: with 0.7 intervals
	// 360 gateways heard no majority for half of the time.
	freshRounds = 1.2
	// minHold is the least time without a message after which other gateways take over a member's part.
	minHold = 1600 * time.Millisecond
	// holdMargin is added to the time by which a member that is cut off must have stopped: two ticks.
	holdMargin = 100 * time.Millisecond
	// minJoin is the least time after its start for which a gateway sends nothing: the others have its join messages, three
	// of them, within half of that.
	minJoin = time.Second
	// joinRounds is how many intervals a gateway waits where digests reach all members only in several rounds.
	joinRounds = 1.5
	// silentFor is the time without a message after which the majority no longer counts a member; at least silentHolds times
	// the time after which its part is taken over.
	silentFor   = 10 * time.Second
	silentHolds = 3
	// knownFor is how long a gateway that hears half of the members or fewer remembers the others. It then takes them for
	// removed.
	knownFor = 2 * time.Minute
)

// ValidFor is how long a View counts. A gateway whose control loop has not renewed it for that long sends nothing to cold
// upstreams: it may have been paused, and traffic goroutines may run before the control loop does.
const ValidFor = 400 * time.Millisecond

// Timing holds the time limits of a Roster. They grow with the time between two messages of a member.
type Timing struct {
	// Fresh is how long a message counts towards the majority.
	Fresh time.Duration
	// Hold is the time without a message after which others take over a member's part. A member that is cut off hears no
	// majority after Fresh, and the others heard it last up to an interval before the cut, so its part is free by then.
	Hold time.Duration
	// Join is how long a gateway that has started, or did not run for Fresh, sends nothing.
	Join time.Duration
}

// TimingFor returns the limits for members whose messages arrive at an interval.
func TimingFor(interval time.Duration) Timing {
	fresh := max(minFresh, time.Duration(freshRounds*float64(interval)))
	return Timing{
		Fresh: fresh,
		Hold:  max(minHold, fresh+interval+holdMargin),
		Join:  max(minJoin, time.Duration(joinRounds*float64(interval))),
	}
}

// member is what is known about another gateway.
type member struct {
	name string
	// heardAt is when its last message arrived; zero if none has. listedAt is when another gateway last named it.
	heardAt, listedAt time.Time
	// counts is set if it was a member in the last view.
	counts bool
}

// lastAt returns when the member was last known: by its own messages if there were any.
func (m *member) lastAt() time.Time {
	if m.heardAt.IsZero() {
		return m.listedAt
	}
	return m.heardAt
}

// Roster is one gateway's view of the gateways that may send to cold upstreams. It is not safe for concurrent use.
type Roster struct {
	self   string
	byName map[string]*member
	// members has the values of byName; each tick passes over them several times.
	members []*member
	// startedAt is when this gateway started, or last ran again after it did not for a while.
	startedAt, tickedAt time.Time
	// present are the members of the last view; they are built anew only if changed is set.
	present ratelimit.Members
	changed bool
}

// NewRoster returns the roster of a gateway that starts now. known lists the gateways in its settings, self excluded; they
// count as members until they have been silent for as long as others.
func NewRoster(self string, known []string, now time.Time) *Roster {
	r := &Roster{self: self, byName: map[string]*member{}, startedAt: now, tickedAt: now, changed: true}
	for _, k := range known {
		r.Listed(k, now)
	}
	return r
}

// Known returns the number of gateways that are remembered, including this one.
func (r *Roster) Known() int { return len(r.members) + 1 }

// Heard records when the last message of a gateway arrived.
func (r *Roster) Heard(name string, at time.Time) {
	if m := r.member(name); m != nil && at.After(m.heardAt) {
		m.heardAt = at
	}
}

// Listed records that another gateway named a gateway.
func (r *Roster) Listed(name string, at time.Time) {
	if m := r.member(name); m != nil && at.After(m.listedAt) {
		m.listedAt = at
	}
}

func (r *Roster) member(name string) *member {
	if name == r.self {
		return nil
	}
	m := r.byName[name]
	if m == nil {
		m = &member{name: name}
		r.byName[name] = m
		r.members = append(r.members, m)
	}
	return m
}

// Tick advances the roster to now; call it at least each 100 ms.
//
// A gateway that did not run for Fresh may have been taken for dead. What it reads first are messages from before, and the
// others have its part until they hear it again. So it waits like one that starts.
func (r *Roster) Tick(now time.Time, t Timing) {
	if now.Sub(r.tickedAt) > t.Fresh {
		r.startedAt = now
	}
	r.tickedAt = now
	remember := knownFor
	if r.majority(r.heard(now, t), now, t) {
		remember = max(silentFor, silentHolds*t.Hold)
	}
	r.members = slices.DeleteFunc(r.members, func(m *member) bool {
		if now.Sub(m.lastAt()) <= remember {
			return false
		}
		delete(r.byName, m.name)
		r.changed = r.changed || m.counts
		return true
	})
}

// View is what a gateway may do with its part.
type View struct {
	// Members are the gateways that divide the rate.
	Members ratelimit.Members
	// Heard is the number of gateways heard lately, and Known that of all that are remembered, including this one.
	Heard, Known int
	// Majority is set if this gateway hears more than half of the known ones. Without it, it sends nothing.
	Majority bool
	// BlockedUntil is the time before which this gateway sends nothing because it has just started.
	BlockedUntil time.Time
}

// View returns the present view.
//
// A member counts for Hold after its last message, even if others have declared it dead, because it may still send for a part
// of that time.
func (r *Roster) View(now time.Time, t Timing) View {
	heard := 1
	for _, m := range r.members {
		if counts := now.Sub(m.lastAt()) <= t.Hold; counts != m.counts {
			m.counts, r.changed = counts, true
		}
		if m.fresh(now, t) {
			heard++
		}
	}
	if r.changed {
		r.present, r.changed = r.build(), false
	}
	return View{
		Members: r.present,
		Heard:   heard, Known: r.Known(),
		Majority: r.majority(heard, now, t), BlockedUntil: r.startedAt.Add(t.Join),
	}
}

// build returns the members that count.
func (r *Roster) build() ratelimit.Members {
	names := make([]string, 0, len(r.members)+1)
	names = append(names, r.self)
	for _, m := range r.members {
		if m.counts {
			names = append(names, m.name)
		}
	}
	return ratelimit.NewMembers(r.self, names)
}

// Part returns what this gateway may send to a cold upstream, by the hash of its incarnation; a rate of 0 permits nothing.
//
// The owners are the first members by rendezvous hashing, so that gateways with the same members agree without a message.
func (v View) Part(upstream uint32, b Bound) Part {
	p := b.Divide(v.Members.Len())
	if !v.Majority || !v.Members.Owns(upstream, p.Owners) {
		return Part{Owners: p.Owners}
	}
	return p
}

func (r *Roster) heard(now time.Time, t Timing) int {
	n := 1
	for _, m := range r.members {
		if m.fresh(now, t) {
			n++
		}
	}
	return n
}

// fresh reports whether the member counts as heard.
func (m *member) fresh(now time.Time, t Timing) bool {
	return !m.heardAt.IsZero() && now.Sub(m.heardAt) <= t.Fresh
}

// majority reports whether this gateway, which hears a number of gateways, hears more than half of the known ones.
//
// Of two halves, the one with the gateway that comes first by its hash counts as the majority, so that one of two gateways still
// sends after the other has died.
func (r *Roster) majority(heard int, now time.Time, t Timing) bool {
	known := r.Known()
	if 2*heard != known {
		return 2*heard > known
	}
	first, hears := r.self, true
	for _, m := range r.members {
		if cmp.Or(cmp.Compare(xxhash.Sum64String(m.name), xxhash.Sum64String(first)), cmp.Compare(m.name, first)) < 0 {
			first, hears = m.name, m.fresh(now, t)
		}
	}
	return hears
}
