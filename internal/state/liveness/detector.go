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
	// quietFor is for how long a member is taken to live after a sign of life; it is not asked in that time.
	quietFor = 250 * time.Millisecond
	// probeInterval is the time between the first questions to two members.
	probeInterval = 100 * time.Millisecond
	// answerWithin is for how long an answer is waited for before helpers are asked: the way there and back, and a tenth of
	// a second in which a host that has used up its processor time stands still.
	answerWithin = 100 * time.Millisecond
	// helpWithin is the same for the answer of a helper, which has twice as far to go.
	helpWithin = 250 * time.Millisecond
	// inquiryTime is how long an inquiry that ends in a verdict takes at least.
	inquiryTime = answerWithin + helpWithin
	// helpers is how many others ask in this member's place: where 3 in 100 datagrams are lost, all of these fail together
	// with both own questions six times in ten million.
	helpers = 4
	// ownPause is from when on a time between two ticks shows that this process has stood still itself.
	ownPause = 200 * time.Millisecond
	// waitFor is for how long the answer to a question that is asked for another is passed on.
	waitFor = time.Second
)

// Address is where a member takes datagrams, IP:PORT. It names the member.
type Address string

// AliveMessage is a sign of life of a member.
type AliveMessage struct {
	Address     Address
	Incarnation ids.Incarnation
	// Sequence grows with each datagram of one incarnation.
	Sequence uint64
	// IsProbeReply says that it answers a question of this member.
	IsProbeReply bool
}

// Probe is a question to send.
type Probe struct {
	To Address
	// Target is whom the receiver is to ask in this member's place; empty if it is asked for itself only.
	Target Address
}

// Change is a member that has ended, or lives after all, by what is now known.
type Change struct {
	Address     Address
	Incarnation ids.Incarnation
	Dead        bool
	// Sequence is the newest of the member that was known.
	Sequence uint64
	// Silent is for how long it was not heard.
	Silent time.Duration
	// ByRumor says that others found it out.
	ByRumor bool
}

// Detector is what one member knows of the others. It is not safe for concurrent use.
type Detector struct {
	rand    *rand.Rand
	members map[Address]*member
	// order has all members, so that equal seeds choose alike.
	order  []Address
	byHash map[uint32]Address
	// open are the members that have been asked and have not answered.
	open map[Address]*inquiry
	// alone says that nobody has answered the last inquiry, neither the member nor a helper.
	alone    bool
	probedAt time.Time
	tickedAt time.Time
	// waiting are those that have others ask for them, by whom they ask about.
	waiting map[Address]map[Address]time.Time
	rumors  map[Address]rumor
	// urgent is how many times rumors are still to be told out of turn.
	urgent  int
	changes []Change
}

type member struct {
	incarnation ids.Incarnation
	hash        uint32
	sequence    uint64
	lastSeen    time.Time
	dead        bool
}

// inquiry is the question whether a member lives.
type inquiry struct {
	probedAt time.Time
	// helpedAt is when the helpers were asked, zero before that.
	helpedAt time.Time
	helpers  []Address
	// reached says that a helper has answered.
	reached bool
}

// New returns a detector that knows nobody.
func New(r *rand.Rand) *Detector {
	return &Detector{
		rand: r, members: map[Address]*member{}, byHash: map[uint32]Address{}, open: map[Address]*inquiry{},
		waiting: map[Address]map[Address]time.Time{}, rumors: map[Address]rumor{},
	}
}

// hashOf stands for a member's life in rumors.
func hashOf(a Address, life ids.Incarnation) uint32 {
	return uint32(xxhash.Sum64String(string(a) + "/" + string(life)))
}

// ReceiveAlive takes in a sign that came from the member itself, and returns who waits to be told that it lives.
func (d *Detector) ReceiveAlive(now time.Time, s AliveMessage) []Address {
	m := d.members[s.Address]
	if m == nil || m.incarnation != s.Incarnation {
		m = d.join(s)
	} else if s.Sequence <= m.sequence {
		return nil
	}
	m.sequence = s.Sequence
	if s.IsProbeReply {
		d.alone = false
		d.witness(s.Address)
	}
	d.lives(now, s.Address, m, false)
	return d.waitingFor(now, s.Address)
}

func (d *Detector) join(s AliveMessage) *member {
	d.Forget(s.Address)
	m := &member{incarnation: s.Incarnation, hash: hashOf(s.Address, s.Incarnation)}
	d.members[s.Address] = m
	d.order = append(d.order, s.Address)
	d.byHash[m.hash] = s.Address
	return m
}

// Forget drops what is known of a member.
func (d *Detector) Forget(a Address) {
	if m := d.members[a]; m != nil {
		delete(d.byHash, m.hash)
		d.order = slices.DeleteFunc(d.order, func(o Address) bool { return o == a })
	}
	delete(d.members, a)
	delete(d.open, a)
	delete(d.rumors, a)
}

// Dead reports whether a member is known to have ended.
func (d *Detector) Dead(a Address) bool {
	m := d.members[a]
	return m != nil && m.dead
}

// ReceiveProbeRequest takes in that another member wants to know of a third. The caller asks that one.
func (d *Detector) ReceiveProbeRequest(now time.Time, by, about Address) {
	if d.waiting[about] == nil {
		d.waiting[about] = map[Address]time.Time{}
	}
	d.waiting[about][by] = now
}

// Tick returns whom to ask now.
//
// After this process has stood still, answers that came meanwhile may not be read yet: what it had asked before is not waited
// for any more.
func (d *Detector) Tick(now time.Time) []Probe {
	if now.Sub(d.tickedAt) >= ownPause {
		clear(d.open)
	}
	d.tickedAt = now
	d.expire(now)
	var probes []Probe
	for _, a := range slices.Sorted(maps.Keys(d.open)) {
		probes = append(probes, d.advance(now, a, d.open[a])...)
	}
	if now.Sub(d.probedAt) >= probeInterval {
		d.probedAt = now
		probes = append(probes, d.inquire(now)...)
	}
	return probes
}

// inquire asks one more member that has not been heard lately.
func (d *Detector) inquire(now time.Time) []Probe {
	a, ok := d.pick(func(a Address, m *member) bool { return d.open[a] == nil && now.Sub(m.lastSeen) >= quietFor })
	if !ok {
		return nil
	}
	d.open[a] = &inquiry{probedAt: now}
	return []Probe{{To: a}}
}

// advance takes an open inquiry on. One that is not answered starts another: where many end at once, asking one after the
// other would take as many times as long. A member that is cut off gets no answers at all and would soon ask everybody at once,
// so one whose inquiries end without any answer starts none but those of its own turn.
//
// A member whose own link is broken hears no answer from anybody, but may be heard. So there is no verdict unless a helper has
// answered.
func (d *Detector) advance(now time.Time, a Address, q *inquiry) []Probe {
	switch {
	case q.helpedAt.IsZero() && now.Sub(q.probedAt) >= answerWithin:
		q.helpedAt = now
		q.helpers = d.choose(a)
		probes := []Probe{{To: a}}
		for _, h := range q.helpers {
			probes = append(probes, Probe{To: h, Target: a})
		}
		if d.alone {
			return probes
		}
		return append(probes, d.inquire(now)...)
	case !q.helpedAt.IsZero() && now.Sub(q.helpedAt) >= helpWithin:
		delete(d.open, a)
		d.alone = !q.reached
		if q.reached {
			d.ends(now, a, d.members[a], false)
		}
	}
	return nil
}

// pick chooses one of the members that live and are wanted.
func (d *Detector) pick(wanted func(Address, *member) bool) (Address, bool) {
	if all := d.candidates(wanted); len(all) > 0 {
		return all[d.rand.IntN(len(all))], true
	}
	return "", false
}

// candidates are the members that live and are wanted.
func (d *Detector) candidates(wanted func(Address, *member) bool) []Address {
	var out []Address
	for _, a := range d.order {
		if m := d.members[a]; !m.dead && wanted(a, m) {
			out = append(out, a)
		}
	}
	return out
}

// choose picks helpers to ask about a member.
func (d *Detector) choose(about Address) []Address {
	return d.some(helpers, func(a Address, _ *member) bool { return a != about && d.open[a] == nil })
}

// some are at most n of the members that live and are wanted.
func (d *Detector) some(n int, wanted func(Address, *member) bool) []Address {
	all := d.candidates(wanted)
	d.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// witness notes that a member has answered, for the inquiries in which it helps.
func (d *Detector) witness(a Address) {
	for _, q := range d.open {
		q.reached = q.reached || slices.Contains(q.helpers, a)
	}
}

func (d *Detector) waitingFor(now time.Time, about Address) []Address {
	if len(d.waiting[about]) == 0 {
		return nil
	}
	var out []Address
	for by, at := range d.waiting[about] {
		if now.Sub(at) <= waitFor {
			out = append(out, by)
		}
	}
	delete(d.waiting, about)
	slices.Sort(out)
	return out
}

func (d *Detector) expire(now time.Time) {
	for about, askers := range d.waiting {
		maps.DeleteFunc(askers, func(_ Address, at time.Time) bool { return now.Sub(at) > waitFor })
		if len(askers) == 0 {
			delete(d.waiting, about)
		}
	}
	maps.DeleteFunc(d.rumors, func(_ Address, r rumor) bool { return !now.Before(r.until) })
}

// lives takes in that a member lives.
func (d *Detector) lives(now time.Time, a Address, m *member, told bool) {
	silent := now.Sub(m.lastSeen)
	m.lastSeen = now
	delete(d.open, a)
	if !m.dead {
		return
	}
	m.dead = false
	d.spread(now, a)
	d.changes = append(d.changes, Change{a, m.incarnation, false, m.sequence, silent, told})
}

// ends takes in that a member has ended.
func (d *Detector) ends(now time.Time, a Address, m *member, told bool) {
	m.dead = true
	delete(d.open, a)
	d.spread(now, a)
	d.changes = append(d.changes, Change{a, m.incarnation, true, m.sequence, now.Sub(m.lastSeen), told})
}

// Changes returns what has changed since it was last called.
func (d *Detector) Changes() []Change {
	out := d.changes
	d.changes = nil
	return out
}
