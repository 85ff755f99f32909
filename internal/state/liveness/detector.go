package liveness

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

const (
	// probeAfter is the time after an alive message for which a member is assumed to be alive and not probed.
	probeAfter = 250 * time.Millisecond
	// probeInterval is the time between the first probes of two members.
	probeInterval = 100 * time.Millisecond
	// directTimeout is the time to wait for a reply before relays are asked: the round trip, plus a tenth of a second
	// for which a host that has used up its processor time is paused.
	directTimeout = 100 * time.Millisecond
	// indirectTimeout is the time to wait for a reply through a relay, which has twice as far to travel.
	indirectTimeout = 250 * time.Millisecond
	// minRoundTime is the minimum duration of a probe round that ends in a death declaration.
	minRoundTime = directTimeout + indirectTimeout
	// maxRelays is the number of members that are asked for indirect probes: if 3 in 100 datagrams are lost, all of
	// these fail together with both direct probes six times in ten million.
	maxRelays = 4
	// pauseThreshold is the time between two ticks from which the detector assumes that its own process was paused.
	pauseThreshold = 200 * time.Millisecond
	// probeRequestTTL is the time for which a reply is forwarded to the member that requested the probe.
	probeRequestTTL = time.Second
)

// Address is the address (IP:PORT) at which a member receives datagrams. It identifies the member.
type Address string

// AliveMessage reports that a member is alive.
type AliveMessage struct {
	Address     Address
	Incarnation ids.Incarnation
	// Sequence increases with each datagram of one incarnation.
	Sequence uint64
	// IsProbeReply is set if the message replies to a probe of this member.
	IsProbeReply bool
}

// Probe is a probe to send.
type Probe struct {
	To Address
	// Target is the member that the receiver is asked to probe for this one; empty for a direct probe of the receiver.
	Target Address
}

// Change reports that a member is dead, or is alive after it was declared dead.
type Change struct {
	Address     Address
	Incarnation ids.Incarnation
	Dead        bool
	// Sequence is the newest recorded sequence of the member.
	Sequence uint64
	// Silent is the time since the member was last seen.
	Silent time.Duration
	// ByRumor is set if the change was merged from another member's rumor.
	ByRumor bool
}

// Detector is one member's state of the others. It is not safe for concurrent use.
type Detector struct {
	rand    *rand.Rand
	members map[Address]*member
	// addresses lists all members in a fixed sequence, so that equal seeds give equal choices.
	addresses []Address
	byHash    map[uint32]Address
	// rounds holds the open probe rounds: members that have been probed and have not replied.
	rounds map[Address]*probeRound
	// isolated is set if the last round that timed out had no reply, neither from the member nor from a relay. Any
	// reply to a probe unsets it.
	isolated bool
	probedAt time.Time
	tickedAt time.Time
	// probeRequests holds, by probed member, the members that requested an indirect probe and the time of the request.
	probeRequests map[Address]map[Address]time.Time
	rumors        map[Address]gossipEntry
	// urgentLeft is how many more times rumors are sent out of schedule.
	urgentLeft int
	changes    []Change
}

type member struct {
	incarnation ids.Incarnation
	hash        uint32
	sequence    uint64
	lastSeen    time.Time
	dead        bool
}

// probeRound is one attempt to find out whether a member is alive.
type probeRound struct {
	probedAt time.Time
	// relayedAt is when the relays were asked; zero before that.
	relayedAt time.Time
	relays    []Address
	// relayReplied is set if a relay has replied.
	relayReplied bool
}

// New returns an empty detector.
func New(r *rand.Rand) *Detector {
	return &Detector{
		rand: r, members: map[Address]*member{}, byHash: map[uint32]Address{}, rounds: map[Address]*probeRound{},
		probeRequests: map[Address]map[Address]time.Time{}, rumors: map[Address]gossipEntry{},
	}
}

// hashOf returns the hash that identifies an incarnation of a member in rumors.
func hashOf(a Address, incarnation ids.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(a) + "/" + string(incarnation)))
}

// ReceiveAlive processes a message that came from the member itself. It returns the members that requested a probe of
// it and have to be sent a rumor that it is alive.
func (d *Detector) ReceiveAlive(now time.Time, s AliveMessage) []Address {
	m := d.members[s.Address]
	if m == nil || m.incarnation != s.Incarnation {
		m = d.addMember(s)
	} else if s.Sequence <= m.sequence {
		return nil
	}
	m.sequence = s.Sequence
	if s.IsProbeReply {
		d.isolated = false
		d.recordProbeReply(s.Address)
	}
	d.markAlive(now, s.Address, m, false)
	return d.takeRequesters(now, s.Address)
}

func (d *Detector) addMember(s AliveMessage) *member {
	d.Forget(s.Address)
	m := &member{incarnation: s.Incarnation, hash: hashOf(s.Address, s.Incarnation)}
	d.members[s.Address] = m
	d.addresses = append(d.addresses, s.Address)
	d.byHash[m.hash] = s.Address
	return m
}

// Forget removes a member.
func (d *Detector) Forget(a Address) {
	if m := d.members[a]; m != nil {
		delete(d.byHash, m.hash)
		d.addresses = slices.DeleteFunc(d.addresses, func(o Address) bool { return o == a })
	}
	delete(d.members, a)
	delete(d.rounds, a)
	delete(d.rumors, a)
}

// Dead reports whether a member is dead.
func (d *Detector) Dead(a Address) bool {
	m := d.members[a]
	return m != nil && m.dead
}

// ReceiveProbeRequest records that requester asked for a probe of target. The caller sends that probe.
func (d *Detector) ReceiveProbeRequest(now time.Time, requester, target Address) {
	if d.probeRequests[target] == nil {
		d.probeRequests[target] = map[Address]time.Time{}
	}
	d.probeRequests[target][requester] = now
}

// Tick advances the detector to now and returns the probes to send.
//
// After a pause of this process, replies that arrived in the meantime may not have been read yet, so the rounds that
// were open before it are dropped.
func (d *Detector) Tick(now time.Time) []Probe {
	if now.Sub(d.tickedAt) >= pauseThreshold {
		clear(d.rounds)
	}
	d.tickedAt = now
	d.expire(now)
	var probes []Probe
	for _, a := range slices.Sorted(maps.Keys(d.rounds)) {
		probes = append(probes, d.advanceRound(now, a, d.rounds[a])...)
	}
	if now.Sub(d.probedAt) >= probeInterval {
		d.probedAt = now
		probes = append(probes, d.startRound(now)...)
	}
	return probes
}

// startRound starts a round for one more member that has not been seen recently.
func (d *Detector) startRound(now time.Time) []Probe {
	a, ok := d.pickOne(func(a Address, m *member) bool { return d.rounds[a] == nil && now.Sub(m.lastSeen) >= probeAfter })
	if !ok {
		return nil
	}
	d.rounds[a] = &probeRound{probedAt: now}
	return []Probe{{To: a}}
}

// advanceRound continues an open round. A round without a reply within directTimeout asks the relays and starts the
// round of another member: if many members die at the same time, probing one after another would take many times as
// long. A partitioned member receives no replies at all and would soon be probing every other member. Therefore, while
// isolated is set, rounds start only at probeInterval.
//
// A member whose own link is broken receives no replies, but the others may receive its messages. So a member is only
// declared dead if a relay has replied.
func (d *Detector) advanceRound(now time.Time, a Address, r *probeRound) []Probe {
	switch {
	case r.relayedAt.IsZero() && now.Sub(r.probedAt) >= directTimeout:
		r.relayedAt = now
		r.relays = d.chooseRelays(a)
		probes := []Probe{{To: a}}
		for _, relay := range r.relays {
			probes = append(probes, Probe{To: relay, Target: a})
		}
		if d.isolated {
			return probes
		}
		return append(probes, d.startRound(now)...)
	case !r.relayedAt.IsZero() && now.Sub(r.relayedAt) >= indirectTimeout:
		delete(d.rounds, a)
		d.isolated = !r.relayReplied
		if r.relayReplied {
			d.markDead(now, a, d.members[a], false)
		}
	}
	return nil
}

// pickOne returns a random member that is not dead and passes the filter.
func (d *Detector) pickOne(filter func(Address, *member) bool) (Address, bool) {
	if all := d.candidates(filter); len(all) > 0 {
		return all[d.rand.IntN(len(all))], true
	}
	return "", false
}

// candidates returns the members that are not dead and pass the filter.
func (d *Detector) candidates(filter func(Address, *member) bool) []Address {
	var out []Address
	for _, a := range d.addresses {
		if m := d.members[a]; !m.dead && filter(a, m) {
			out = append(out, a)
		}
	}
	return out
}

// chooseRelays returns the relays for an indirect probe of a member.
func (d *Detector) chooseRelays(target Address) []Address {
	return d.sample(maxRelays, func(a Address, _ *member) bool { return a != target && d.rounds[a] == nil })
}

// sample returns at most n random members that are not dead and pass the filter.
func (d *Detector) sample(n int, filter func(Address, *member) bool) []Address {
	all := d.candidates(filter)
	d.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// recordProbeReply sets relayReplied in each round in which member a is a relay.
func (d *Detector) recordProbeReply(a Address) {
	for _, r := range d.rounds {
		r.relayReplied = r.relayReplied || slices.Contains(r.relays, a)
	}
}

func (d *Detector) takeRequesters(now time.Time, target Address) []Address {
	if len(d.probeRequests[target]) == 0 {
		return nil
	}
	var out []Address
	for requester, at := range d.probeRequests[target] {
		if now.Sub(at) <= probeRequestTTL {
			out = append(out, requester)
		}
	}
	delete(d.probeRequests, target)
	slices.Sort(out)
	return out
}

func (d *Detector) expire(now time.Time) {
	for target, requesters := range d.probeRequests {
		maps.DeleteFunc(requesters, func(_ Address, at time.Time) bool { return now.Sub(at) > probeRequestTTL })
		if len(requesters) == 0 {
			delete(d.probeRequests, target)
		}
	}
	maps.DeleteFunc(d.rumors, func(_ Address, r gossipEntry) bool { return !now.Before(r.until) })
}

// markAlive records that a member is alive.
func (d *Detector) markAlive(now time.Time, a Address, m *member, byRumor bool) {
	silent := now.Sub(m.lastSeen)
	m.lastSeen = now
	delete(d.rounds, a)
	if !m.dead {
		return
	}
	m.dead = false
	d.gossip(now, a)
	d.changes = append(d.changes, Change{a, m.incarnation, false, m.sequence, silent, byRumor})
}

// markDead records that a member is dead.
func (d *Detector) markDead(now time.Time, a Address, m *member, byRumor bool) {
	m.dead = true
	delete(d.rounds, a)
	d.gossip(now, a)
	d.changes = append(d.changes, Change{a, m.incarnation, true, m.sequence, now.Sub(m.lastSeen), byRumor})
}

// Changes returns the changes since the last call.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}
