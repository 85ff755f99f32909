package coldstart_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/coldstart"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/ratelimit"
)

const (
	step = 10 * time.Millisecond
	tick = 50 * time.Millisecond
	// Digests of the gateways: their interval, the targets of each, and what is lost of all datagrams.
	digestInterval = 200 * time.Millisecond
	maxTargets     = 20
	loss           = 0.03
	// warmUp is left out of the use of the rate: gateways that start together send nothing yet.
	warmUp = 8 * time.Second
	// leastUse is the least use of the rate under faults; they are so frequent that most gateways wait most of the time.
	leastUse = 0.05
)

var begin = time.Unix(0, 0)

// network simulates gateways that always have more requests than one cold upstream takes.
type network struct {
	rng   *rand.Rand
	bound coldstart.Bound
	now   time.Duration
	nodes []*node
	names []string
	// inbox holds the datagrams by the step at which they arrive.
	inbox map[time.Duration][]datagram
	sent  []time.Duration
}

type datagram struct {
	from, to int
	join     bool
	listed   []int
}

type node struct {
	roster *coldstart.Roster
	bucket *ratelimit.Bucket
	// startsAt is when a node that does not run starts; side is the part of the network that it is in, mute drops what it
	// sends.
	startsAt, frozenUntil time.Duration
	side                  int
	mute                  bool
	known                 map[int]time.Duration
	target                int
	queued                []datagram
	validUntil, sentAt    time.Duration
	blockedUntil          time.Time
	startedAt             time.Duration
	// writes are the times at which placed requests are written.
	writes []time.Duration
}

const never = time.Duration(1 << 62)

func newNetwork(seed uint64, n int, b coldstart.Bound) *network {
	w := &network{rng: rand.New(rand.NewPCG(seed, uint64(n))), bound: b, inbox: map[time.Duration][]datagram{}}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("10.0.0.%d:7000", i))
		w.nodes = append(w.nodes, &node{startsAt: time.Duration(w.rng.IntN(100)) * step})
	}
	return w
}

func (w *network) name(i int) string { return w.names[i] }

func (w *network) at(d time.Duration) time.Time { return begin.Add(d) }

// timing returns the limits of a node, by how many members it knows.
func (n *node) timing() coldstart.Timing {
	return coldstart.TimingFor(max(digestInterval, digestInterval*time.Duration(n.roster.Known())/maxTargets))
}

// start starts a node that knows the addresses of up to 40 others from its settings.
func (w *network) start(i int) {
	n := w.nodes[i]
	*n = node{side: n.side, mute: n.mute, known: map[int]time.Duration{}, startedAt: w.now, startsAt: never, validUntil: -1}
	var seeds []string
	for j := range w.nodes {
		if j != i && j < 40 {
			n.known[j] = w.now
			seeds = append(seeds, w.name(j))
		}
	}
	n.roster = coldstart.NewRoster(w.name(i), seeds, w.at(w.now))
	n.bucket = ratelimit.NewBucket(0, w.at(w.now))
}

func (w *network) running(n *node) bool { return n.roster != nil && w.now >= n.frozenUntil }

func (w *network) send(d datagram) {
	from := w.nodes[d.from]
	if from.mute || from.side != w.nodes[d.to].side || w.rng.Float64() < loss {
		return
	}
	due := w.now + step*time.Duration(1+w.rng.IntN(4))
	w.inbox[due] = append(w.inbox[due], d)
}

func (w *network) receive(d datagram) {
	n := w.nodes[d.to]
	n.roster.Heard(w.name(d.from), w.at(w.now))
	n.known[d.from] = w.now
	for _, j := range d.listed {
		if _, ok := n.known[j]; !ok && j != d.to {
			w.send(datagram{from: d.to, to: j})
		}
		if j != d.to {
			n.roster.Listed(w.name(j), w.at(w.now))
			n.known[j] = w.now
		}
	}
	if d.join {
		w.send(datagram{from: d.to, to: d.from, listed: w.known(n)})
	}
}

func (w *network) known(n *node) []int {
	var out []int
	for j, at := range n.known {
		if w.now-at <= 30*time.Second {
			out = append(out, j)
		}
	}
	slices.Sort(out)
	return out
}

// run runs one step of a node: the traffic goroutines come first, because they may after a freeze.
func (w *network) run(i int) {
	n := w.nodes[i]
	w.place(n)
	for _, d := range n.queued {
		w.receive(d)
	}
	n.queued = nil
	if w.now%tick != 0 {
		return
	}
	t := n.timing()
	n.roster.Tick(w.at(w.now), t)
	w.divide(n, t)
	n.validUntil = w.now + coldstart.ValidFor
	w.digests(i)
}

func (w *network) divide(n *node, t coldstart.Timing) {
	v := n.roster.View(w.at(w.now), t)
	part := v.Part(1, w.bound)
	n.blockedUntil = v.BlockedUntil
	n.bucket.SetBurst(part.Burst)
	n.bucket.SetRate(part.PerSecond, w.at(w.now))
}

func (w *network) digests(i int) {
	n := w.nodes[i]
	if w.now-n.startedAt < 450*time.Millisecond && (w.now-n.startedAt)%(3*tick) == 0 {
		for j := range min(40, len(w.nodes)) {
			w.send(datagram{from: i, to: j, join: true})
		}
	}
	if w.now-n.sentAt < digestInterval {
		return
	}
	n.sentAt = w.now
	targets := w.known(n)
	var listed []int
	if w.rng.IntN(5) == 0 {
		for range min(12, len(targets)) {
			listed = append(listed, targets[w.rng.IntN(len(targets))])
		}
	}
	for range min(maxTargets, len(targets)) {
		n.target = (n.target + 1) % len(targets)
		w.send(datagram{from: i, to: targets[n.target], listed: listed})
	}
}

// place takes all that the bucket permits. A request is written at once, or after a new connection is made.
func (w *network) place(n *node) {
	for w.now <= n.validUntil && !w.at(w.now).Before(n.blockedUntil) {
		ready, ok := n.bucket.ReadyAt(w.at(w.now))
		if !ok || ready.After(w.at(w.now)) {
			break
		}
		n.bucket.Take(w.at(w.now))
		due := w.now
		if w.rng.IntN(20) == 0 {
			due += step * time.Duration(w.rng.IntN(15))
		}
		n.writes = append(n.writes, due)
	}
	n.writes = slices.DeleteFunc(n.writes, func(due time.Duration) bool {
		if due <= w.now {
			w.sent = append(w.sent, w.now)
		}
		return due <= w.now
	})
}

func (w *network) runUntil(end time.Duration) {
	for ; w.now < end; w.now += step {
		for i, n := range w.nodes {
			if n.roster == nil && w.now >= n.startsAt {
				w.start(i)
			}
		}
		for _, d := range w.inbox[w.now] {
			if n := w.nodes[d.to]; n.roster != nil {
				n.queued = append(n.queued, d)
			}
		}
		delete(w.inbox, w.now)
		for _, i := range w.rng.Perm(len(w.nodes)) {
			if w.running(w.nodes[i]) {
				w.run(i)
			}
		}
	}
}

// some returns a random share of the nodes.
func (w *network) some(share float64) []*node {
	var out []*node
	for _, i := range w.rng.Perm(len(w.nodes))[:max(1, int(share*float64(len(w.nodes))))] {
		out = append(out, w.nodes[i])
	}
	return out
}

func (w *network) seconds(low, high float64) time.Duration {
	return time.Duration((low+(high-low)*w.rng.Float64())*100) * step
}

// fault injects a random fault.
func (w *network) fault() {
	share := []float64{0, 0.1, 0.35, 0.5, 1}[w.rng.IntN(5)]
	switch w.rng.IntN(6) {
	case 0:
		for _, n := range w.some(share) {
			n.roster, n.startsAt = nil, w.now+w.seconds(0.3, 6)
		}
	case 1:
		for _, n := range w.some(share) {
			n.frozenUntil = w.now + w.seconds(0.1, 5)
		}
	case 2:
		for _, n := range w.some(min(share, 0.5)) {
			n.side = 1
		}
	case 3:
		for _, n := range w.nodes {
			n.side = w.rng.IntN(3)
		}
	case 4:
		for _, n := range w.some(min(share, 0.35)) {
			n.mute = true
		}
	case 5:
		for _, n := range w.nodes {
			n.side, n.mute = 0, false
		}
	}
}

// runWithFaults runs gateways, a quarter of which join later, with a fault each few seconds. It returns what the upstream got
// in the second with the most requests.
func (w *network) runWithFaults(length time.Duration) (most int, at time.Duration) {
	for i := range w.nodes {
		if i%4 == 3 {
			w.nodes[i].startsAt = time.Duration(w.rng.IntN(4000)) * step
		}
	}
	for w.now < length {
		w.runUntil(w.now + w.seconds(0.1, 5))
		w.fault()
	}
	return mostInSecond(w.sent)
}

// mostInSecond returns the largest number of requests in any second, and when it ended.
func mostInSecond(sent []time.Duration) (most int, at time.Duration) {
	first := 0
	for i, t := range sent {
		for t-sent[first] >= time.Second {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, t
		}
	}
	return most, at
}

// boundsAt returns the bounds to test with a number of gateways; many take long.
func boundsAt(gateways int) []coldstart.Bound {
	if gateways > 100 {
		return bounds[:1]
	}
	return bounds
}

var bounds = []coldstart.Bound{{PerSecond: 17, Overshoot: 1.5, Slack: 5}, {PerSecond: 4, Overshoot: 1.5, Slack: 5}, {PerSecond: 60, Overshoot: 1.5, Slack: 5}, {PerSecond: 17, Overshoot: 2, Slack: 0}}

// seedFactor multiplies the seeds of TestGatewaysKeepBoundUnderFaults; with the race detector, more of them take minutes.
var seedFactor = flag.Int("coldstart.seeds", 1, "factor of the number of seeds")

// Guards against gateways that use little of the rate because it is divided into parts that are too small.
func TestGatewaysUseRateInSteadyState(t *testing.T) {
	for _, gateways := range []int{1, 9, 44, 360} {
		for _, b := range boundsAt(gateways) {
			t.Run(fmt.Sprintf("%d gateways, %+v", gateways, b), func(t *testing.T) {
				t.Parallel()
				w := newNetwork(1, gateways, b)
				length := 12 * time.Second
				w.runUntil(warmUp + length)
				counted := slices.DeleteFunc(slices.Clone(w.sent), func(d time.Duration) bool { return d < warmUp })
				use := float64(len(counted)) / length.Seconds() / b.PerSecond
				most, _ := mostInSecond(w.sent)
				t.Logf("%.3f of the rate, at most %d in a second of %d", use, most, b.Most())
				if use < 0.8 || most > b.Most() {
					t.Errorf("%.3f of the rate, at most %d in a second of %d", use, most, b.Most())
				}
			})
		}
	}
}

// Guards against gateways that exceed the bound together because some of them are killed, frozen, cut off, heard by nobody, or
// join.
func TestGatewaysKeepBoundUnderFaults(t *testing.T) {
	for gateways, seeds := range map[int]int{1: 2, 9: 5, 44: 2, 360: 1} {
		for _, b := range boundsAt(gateways) {
			t.Run(fmt.Sprintf("%d gateways, %+v", gateways, b), func(t *testing.T) {
				t.Parallel()
				const length = time.Minute
				seeds := seeds * *seedFactor
				highest, total := 0, 0.0
				for seed := range uint64(seeds) {
					w := newNetwork(seed, gateways, b)
					most, at := w.runWithFaults(length)
					highest, total = max(highest, most), total+float64(len(w.sent))
					if most > b.Most() {
						t.Errorf("seed %d: %d in the second before %s, bound %d", seed, most, at, b.Most())
					}
				}
				use := total / float64(seeds) / length.Seconds() / b.PerSecond
				t.Logf("at most %d in a second of %d, %.2f of the rate", highest, b.Most(), use)
				if use < leastUse {
					t.Errorf("%.2f of the rate; a bound that nothing is sent against shows little", use)
				}
			})
		}
	}
}
