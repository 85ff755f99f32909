package blame_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
)

// scenario is a load with the faults beside it.
type scenario struct {
	name string
	// gateways and upstreams are their numbers. group makes the crash of one upstream end the runs of all, and shuts all until it
	// is back.
	gateways, upstreams int
	group               bool
	// sound and bad are requests a second.
	sound, bad float64
	// deaths is the mean time between crashes for other reasons, herd how many upstreams crash at once; 0 for none.
	deaths time.Duration
	herd   int
	// killAll is the mean time between kills of all gateways, cut that between cuts of a gateway from its peers; 0 for none.
	killAll, cut time.Duration
	// storeAway and storeOlder are the mean times between outages of the store and its returns with an older copy; 0 for none.
	storeAway, storeOlder time.Duration
	rules                 blame.Rules
}

const (
	simLength     = 60 * time.Second
	badFrom       = 20 * time.Second
	stability     = 3 * time.Second
	restart       = 4 * time.Second
	outage        = 5 * time.Second
	killedFor     = 300 * time.Millisecond
	gossip        = 200 * time.Millisecond
	gossipTargets = 20
	gossipLoss    = 0.02
	proofDelay    = 5 * time.Millisecond
	decisionDelay = 80 * time.Millisecond
	// unproven is the share of the broken runs that no proof of a crash follows.
	unproven = 0.05
	badPart  = blame.Part(0xbad)
	// firstParts, rareParts and rareShare describe the prompts of sound requests: one of the first parts, and in a share of
	// them a rare part that the same session has used before.
	firstParts, rareParts = 60, 400
	rareShare             = 0.3
)

// simRequest is one request of a caller.
type simRequest struct {
	id       blame.Request
	account  blame.Account
	parts    blame.Parts
	bad      bool
	sentAt   time.Duration
	gateway  int
	attempts int
	trial    bool
}

type simUpstream struct {
	incarnation int
	downUntil   time.Duration
	waiting     map[*simRequest]bool
}

type simGateway struct {
	name      string
	ledger    *blame.Ledger
	memory    *blame.Memory
	downUntil time.Duration
	cutUntil  time.Duration
	// nextTarget is the gateway that gets the next digest.
	nextTarget int
	saveAt     time.Duration
	// deciding is set while a decision is scheduled.
	deciding bool
	// disturbedAt is the end of the last kill or cut of the gateway.
	disturbedAt time.Duration
}

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim plays a scenario in virtual time.
type sim struct {
	scenario
	rng       *rand.Rand
	now       time.Duration
	queue     simQueue
	order     int
	gateways  []*simGateway
	upstreams []*simUpstream
	shutUntil time.Duration
	lastID    blame.Request
	// row is the stored value, copies are earlier values, storeDown is the end of an outage.
	row       []byte
	copies    [][]byte
	storeDown time.Duration
	storeAt   time.Duration

	result simResult
}

// simResult is what a play came to.
type simResult struct {
	// crashes are the times of the crashes under the bad part, arrivals those at which requests with it, sent by gateways in touch,
	// reached upstreams.
	crashes, arrivals []time.Duration
	sound             []soundOutcome
}

type soundOutcome struct {
	at             time.Duration
	begun, refused bool
	// rare is the rare part of the request; 0 if it has none.
	rare blame.Part
}

func play(s scenario, seed uint64) simResult {
	m := &sim{scenario: s, rng: rand.New(rand.NewPCG(seed, 50))}
	for i := range s.gateways {
		m.gateways = append(m.gateways, &simGateway{name: fmt.Sprint(i), disturbedAt: -time.Hour})
		m.forget(m.gateways[i])
		m.after(time.Duration(m.rng.Int64N(int64(gossip))), func() { m.gossip(i) })
	}
	for range s.upstreams {
		m.upstreams = append(m.upstreams, &simUpstream{waiting: map[*simRequest]bool{}})
	}
	m.storeAt = -time.Hour
	m.every(s.sound, 0, m.sendSound)
	m.every(s.bad, badFrom, m.sendBad)
	m.sometimes(s.deaths, m.crashOthers)
	m.sometimes(s.killAll, m.killGateways)
	m.sometimes(s.cut, m.cutGateway)
	m.sometimes(s.storeAway, func() { m.storeDown = m.now + outage; m.storeAt = m.storeDown })
	m.sometimes(s.storeOlder, m.returnOlder)
	for m.queue.Len() > 0 && m.now < simLength {
		e := heap.Pop(&m.queue).(simEvent)
		m.now = e.at
		e.do()
	}
	return m.result
}

// forget gives a gateway the state of a process that has just started.
func (m *sim) forget(g *simGateway) {
	g.memory = blame.NewMemory()
	g.ledger = blame.NewLedger(m.rules, g.name, g.memory)
	g.saveAt = 0
}

// clock returns the virtual time as a time.
func (m *sim) clock() time.Time { return time.UnixMilli(0).Add(m.now) }

func (m *sim) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, simEvent{m.now + d, m.order, do})
}

// every calls do at random intervals from a time on.
func (m *sim) every(perSecond float64, from time.Duration, do func()) {
	if perSecond == 0 {
		return
	}
	var again func()
	again = func() {
		do()
		m.after(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), again)
	}
	m.after(from, again)
}

func (m *sim) sometimes(mean time.Duration, do func()) {
	if mean > 0 {
		m.every(1/mean.Seconds(), time.Duration(m.rng.ExpFloat64()*float64(mean)), do)
	}
}

func (m *sim) sendSound() {
	first := blame.Part(1 + int(float64(firstParts)*m.rng.Float64()*m.rng.Float64()))
	parts, rare := blame.Parts{first}, blame.Part(0)
	if m.rng.Float64() < rareShare {
		rare = blame.Part(1000 + m.rng.IntN(rareParts))
		parts = append(parts, rare)
	}
	m.lastID++
	m.send(&simRequest{id: m.lastID, account: blame.Account(1 + m.rng.IntN(10)), parts: parts, sentAt: m.now})
}

func (m *sim) sendBad() {
	first := blame.Part(1 + m.rng.IntN(3))
	m.lastID++
	m.send(&simRequest{id: m.lastID, account: blame.Account(1 + m.rng.IntN(10)), parts: blame.Parts{first, badPart}, bad: true, sentAt: m.now})
}

// send gives a request to a random gateway that runs.
func (m *sim) send(r *simRequest) {
	r.gateway = m.rng.IntN(len(m.gateways))
	g := m.gateways[r.gateway]
	if m.now < g.downUntil {
		m.done(r, false, false)
		return
	}
	m.dispatch(r)
}

func (m *sim) dispatch(r *simRequest) {
	g := m.gateways[r.gateway]
	if m.now < g.downUntil {
		return // it has ended with its gateway
	}
	if r.attempts == 0 {
		g.memory.Seen(r.parts)
	}
	if refusal, refused := g.ledger.Snapshot().Refused(r.parts, r.account, nil); refused && !r.trial {
		if !m.claim(g, refusal.Part) {
			m.done(r, false, true)
			return
		}
		r.trial = true
	}
	u := m.upstreams[m.rng.IntN(len(m.upstreams))]
	if m.group && m.now < m.shutUntil || m.now < u.downUntil {
		m.after(max(50*time.Millisecond, m.shutUntil-m.now), func() { m.dispatch(r) })
		return
	}
	r.attempts++
	u.waiting[r] = true
	if r.bad && m.inTouch(g) {
		m.result.arrivals = append(m.result.arrivals, m.now)
	}
	incarnation := u.incarnation
	m.after(time.Duration(60+m.rng.IntN(200))*time.Millisecond, func() { m.begin(u, incarnation, r) })
}

// claim counts a trial in the store, as the gateways do.
func (m *sim) claim(g *simGateway, part blame.Part) bool {
	if m.now < m.storeDown || !g.ledger.TrialDue(m.clock(), part) {
		return false
	}
	m.save(g)
	if !g.ledger.TrialDue(m.clock(), part) {
		return false
	}
	g.ledger.ClaimTrial(m.clock(), part)
	m.save(g)
	return true
}

func (m *sim) begin(u *simUpstream, incarnation int, r *simRequest) {
	if u.incarnation != incarnation || !u.waiting[r] {
		return
	}
	if r.bad {
		m.result.crashes = append(m.result.crashes, m.now)
		m.crash(u)
		return
	}
	delete(u.waiting, r)
	g := m.gateways[r.gateway]
	if m.now >= g.downUntil {
		g.ledger.Answered(m.clock(), r.parts)
	}
	m.done(r, r.attempts == 1, false)
}

// crash ends an upstream, and the runs of all others if they are a group.
func (m *sim) crash(u *simUpstream) {
	crash := blame.Crash(m.rng.Uint64())
	broken := map[int][]blame.Broken{}
	for _, r := range m.take(u) {
		if m.rng.Float64() >= unproven {
			broken[r.gateway] = append(broken[r.gateway], blame.Broken{Carrier: blame.Carrier{Request: r.id, Account: r.account}, Parts: r.parts})
		}
		m.after(proofDelay+10*time.Millisecond, func() { m.retry(r) })
	}
	u.incarnation++
	u.downUntil = m.now + restart
	for i, list := range broken {
		m.after(proofDelay, func() { m.report(i, crash, list) })
	}
	if !m.group {
		return
	}
	m.shutUntil = m.now + restart + time.Second
	for _, other := range m.upstreams {
		for _, r := range m.take(other) {
			m.after(time.Second, func() { m.dispatch(r) })
		}
	}
}

// take returns the requests that wait at an upstream, in a fixed order, and removes them.
func (m *sim) take(u *simUpstream) []*simRequest {
	var out []*simRequest
	for r := range u.waiting {
		out = append(out, r)
	}
	clear(u.waiting)
	sortByID(out)
	return out
}

func (m *sim) report(i int, crash blame.Crash, broken []blame.Broken) {
	g := m.gateways[i]
	if m.now < g.downUntil {
		return
	}
	g.ledger.Crashed(m.clock(), crash, broken)
	g.saveAt = m.now + 400*time.Millisecond
	m.announce(i)
	m.decideSoon(i)
}

// decideSoon makes a gateway decide once the reports of others have arrived.
func (m *sim) decideSoon(i int) {
	g := m.gateways[i]
	if g.deciding {
		return
	}
	g.deciding = true
	m.after(decisionDelay, func() {
		g.deciding = false
		if m.now >= g.downUntil && len(g.ledger.Decide(m.clock())) > 0 {
			m.announce(i)
		}
	})
}

// retry sends a request whose upstream crashed once more, unless a part of it is suspected.
func (m *sim) retry(r *simRequest) {
	g := m.gateways[r.gateway]
	m.after(400*time.Millisecond, func() {
		if r.attempts >= 2 || r.trial || g.ledger.Snapshot().Suspected(r.parts) {
			m.done(r, false, false)
			return
		}
		m.dispatch(r)
	})
}

func (m *sim) done(r *simRequest, begun, refused bool) {
	if r.bad {
		return
	}
	o := soundOutcome{at: r.sentAt, begun: begun, refused: refused}
	if len(r.parts) > 1 {
		o.rare = r.parts[1]
	}
	m.result.sound = append(m.result.sound, o)
}

func (m *sim) gossip(i int) {
	g := m.gateways[i]
	m.after(gossip, func() { m.gossip(i) })
	if m.now < g.downUntil {
		return
	}
	g.ledger.Expire(m.clock())
	decided := g.ledger.Decide(m.clock())
	if g.ledger.Unsaved() && m.now >= g.saveAt {
		m.save(g)
	}
	if len(decided) > 0 {
		m.announce(i)
		return
	}
	m.sendDigest(i, gossipTargets)
}

func (m *sim) announce(i int) { m.sendDigest(i, len(m.gateways)) }

// sendDigest sends a digest to a number of gateways, in turn.
func (m *sim) sendDigest(i, targets int) {
	g := m.gateways[i]
	list, _ := g.ledger.Digest(m.clock(), 12)
	if len(list) == 0 || m.now < g.cutUntil {
		return
	}
	for range min(targets, len(m.gateways)) {
		g.nextTarget = (g.nextTarget + 1) % len(m.gateways)
		to := g.nextTarget
		other := m.gateways[to]
		if to == i || m.now < other.cutUntil || m.rng.Float64() < gossipLoss {
			continue
		}
		m.after(time.Duration(1+m.rng.IntN(10))*time.Millisecond, func() {
			if m.now < other.downUntil {
				return
			}
			m.decideSoon(to)
			if len(other.ledger.Merge(m.clock(), list)) > 0 {
				other.saveAt = m.now + time.Second + time.Duration(m.rng.Int64N(int64(2*time.Second)))
			}
		})
	}
}

// save merges the stored parts and writes what they lack.
func (m *sim) save(g *simGateway) {
	if m.now < m.storeDown {
		return
	}
	stored, err := blame.DecodeRow(m.row)
	if err != nil {
		panic(err)
	}
	g.ledger.Merge(m.clock(), stored)
	g.ledger.SetUnsaved(false)
	all := g.ledger.All()
	if blame.Covers(stored, all) {
		return
	}
	value, err := blame.EncodeRow(all)
	if err != nil {
		panic(err)
	}
	m.copies = append(m.copies, m.row)
	m.row = value
}

func (m *sim) crashOthers() {
	for range max(1, m.herd) {
		if u := m.upstreams[m.rng.IntN(len(m.upstreams))]; m.now >= u.downUntil {
			m.crash(u)
		}
	}
}

func (m *sim) killGateways() {
	for _, g := range m.gateways {
		g.downUntil = m.now + killedFor
		g.disturbedAt = g.downUntil
		m.after(killedFor, func() {
			m.forget(g)
			m.load(g)
		})
	}
}

// load reads the stored parts before a gateway serves. While the store is away it serves nothing.
func (m *sim) load(g *simGateway) {
	if m.now < m.storeDown {
		g.downUntil = m.storeDown + time.Millisecond
		g.disturbedAt = g.downUntil
		m.after(g.downUntil-m.now, func() { m.load(g) })
		return
	}
	m.save(g)
}

func (m *sim) cutGateway() {
	g := m.gateways[m.rng.IntN(len(m.gateways))]
	g.cutUntil = m.now + outage
	g.disturbedAt = g.cutUntil
}

// returnOlder makes the store return with an older copy. Gateways notice that and write what it lacks.
func (m *sim) returnOlder() {
	if len(m.copies) > 0 {
		m.row = m.copies[m.rng.IntN(len(m.copies))]
	}
	m.storeAt = m.now
	for _, g := range m.gateways {
		g.ledger.SetUnsaved(true)
		g.saveAt = m.now + time.Duration(m.rng.Int64N(int64(2*time.Second)))
	}
}

// inTouch reports whether a gateway's sending counts: neither it nor the store was disturbed lately.
func (m *sim) inTouch(g *simGateway) bool {
	return m.now >= g.disturbedAt+stability && m.now >= m.storeAt+stability
}
