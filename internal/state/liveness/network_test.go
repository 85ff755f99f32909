package liveness_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/bench/eventqueue"
)

const (
	// stepTime is the interval of each member's loop, digestInterval that of its digests, and digestFanout the number
	// of members that receive one.
	stepTime       = 50 * time.Millisecond
	digestInterval = 200 * time.Millisecond
	digestFanout   = 20
	maxRumors      = 80
	// rumorBytes and plainBytes are sizes on the wire: of one rumor, and of a datagram without rumors but with its
	// headers.
	rumorBytes = 8
	plainBytes = 190
)

// network simulates members in virtual time: datagrams are delayed and lost, and hosts pause for moments.
type network struct {
	*eventqueue.Queue
	rand    *rand.Rand
	loss    float64
	stall   time.Duration
	members []*node
	// byAddress holds the same members by address.
	byAddress map[liveness.Address]*node
	// blocked reports whether datagrams from one member to another are lost; nil if none are.
	blocked func(from, to int) bool
	changes []observedChange
	bytes   int
	sent    int
}

// observedChange is a change that one member has recorded.
type observedChange struct {
	at time.Time
	by int
	liveness.Change
}

type node struct {
	net          *network
	index        int
	detector     *liveness.Detector
	sequence     uint64
	turn         int
	digestSentAt time.Time
	dead         bool
	// dropSent drops the datagrams that the node sends, dropReceived those that are sent to it.
	dropSent, dropReceived bool
}

type datagram struct {
	liveness.AliveMessage
	probe  bool
	target liveness.Address
	rumors []liveness.Rumor
}

func addressOf(i int) liveness.Address {
	return liveness.Address(fmt.Sprintf("10.1.%d.%d:8229", i/250, i%250))
}

// newNetwork returns a network of members that have all received an alive message from each other.
func newNetwork(seed uint64, size int, loss float64) *network {
	n := &network{Queue: eventqueue.New(time.Unix(1000, 0)), rand: rand.New(rand.NewPCG(seed, 1)), loss: loss, stall: 70 * time.Millisecond, byAddress: map[liveness.Address]*node{}}
	for i := range size {
		m := &node{net: n, index: i, turn: n.rand.IntN(size), detector: liveness.New(rand.New(rand.NewPCG(seed, uint64(i)+2)))}
		n.members = append(n.members, m)
		n.byAddress[addressOf(i)] = m
	}
	for _, m := range n.members {
		for _, other := range n.members {
			if other != m {
				m.detector.ReceiveAlive(n.Now(), other.aliveMessage(0, false))
			}
		}
		n.In(n.randomUpTo(stepTime), m.step)
	}
	return n
}

func (n *network) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(n.rand.Int64N(int64(d)))
}

func (m *node) aliveMessage(sequence uint64, reply bool) liveness.AliveMessage {
	return liveness.AliveMessage{Address: addressOf(m.index), Incarnation: ids.Incarnation(fmt.Sprint("life-", m.index)), Sequence: sequence, IsProbeReply: reply}
}

func (m *node) step() {
	if m.dead {
		return
	}
	for _, p := range m.detector.Tick(m.net.Now()) {
		m.send(p.To, datagram{probe: true, target: p.Target})
	}
	for _, a := range m.detector.UrgentTargets() {
		m.send(a, datagram{})
	}
	if m.net.Now().Sub(m.digestSentAt) >= digestInterval {
		m.sendDigests()
	}
	m.collectChanges()
	m.net.In(stepTime, m.step)
}

// sendDigests sends a digest to each of the next digestFanout members in turn.
func (m *node) sendDigests() {
	m.digestSentAt = m.net.Now()
	for range min(digestFanout, len(m.net.members)-1) {
		m.turn = (m.turn + 1) % len(m.net.members)
		if m.turn == m.index {
			m.turn = (m.turn + 1) % len(m.net.members)
		}
		m.send(addressOf(m.turn), datagram{})
	}
}

func (m *node) collectChanges() {
	for _, c := range m.detector.Changes() {
		m.net.changes = append(m.net.changes, observedChange{m.net.Now(), m.index, c})
	}
}

func (m *node) send(to liveness.Address, d datagram) {
	m.sequence++
	reply := d.IsProbeReply
	d.AliveMessage = m.aliveMessage(m.sequence, reply)
	d.rumors = append(d.rumors, m.detector.Rumors(maxRumors)...)
	m.net.bytes += plainBytes + rumorBytes*len(d.rumors)
	m.net.sent++
	other := m.net.byAddress[to]
	if m.dropSent || m.net.rand.Float64() < m.net.loss || m.net.blocked != nil && m.net.blocked(m.index, other.index) {
		return
	}
	m.net.In(3*time.Millisecond+m.net.randomUpTo(m.net.stall), func() { other.receive(d) })
}

func (m *node) receive(d datagram) {
	if m.dead || m.dropReceived {
		return
	}
	now := m.net.Now()
	for _, requester := range m.detector.ReceiveAlive(now, d.AliveMessage) {
		m.send(requester, datagram{rumors: []liveness.Rumor{m.detector.RumorOf(d.Address)}})
	}
	m.detector.MergeRumors(now, d.rumors)
	if d.probe {
		m.send(d.Address, datagram{AliveMessage: liveness.AliveMessage{IsProbeReply: true}})
	}
	if d.target != "" {
		m.detector.ReceiveProbeRequest(now, d.Address, d.target)
		m.send(d.target, datagram{probe: true})
	}
	m.collectChanges()
}
