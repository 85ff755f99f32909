package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/controlport"
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
)

const (
	// digestInterval is how often a gateway tells the others of itself when nothing changes, workInterval when its work does.
	digestInterval = 200 * time.Millisecond
	workInterval   = 100 * time.Millisecond
	// peerListInterval is how often a digest names other gateways, newNamesInterval the same while some are new.
	peerListInterval    = time.Second
	newPeerListInterval = 200 * time.Millisecond
	// newPeerPeriod is for how long a gateway counts as new: until others have named it a few times.
	newPeerPeriod = 1500 * time.Millisecond
	// joinPeriod is for how long a gateway that has started only gets to know the others: names pass to the gateways of its
	// settings and back. It takes no duty before that.
	joinPeriod = 450 * time.Millisecond
	// joinInterval is the time between its questions for names.
	joinInterval = 150 * time.Millisecond
	// unknownLeaderTimeout is how long after its start a gateway takes a leader that it has not heard for one that it does not know
	// yet: names of gateways that start together reach all within a second.
	unknownLeaderTimeout = 1200 * time.Millisecond
	// peerTimeout is after how long a gateway that is not heard is no longer given out, also if nobody could tell whether it
	// has ended: three digests and a margin.
	peerTimeout = 800 * time.Millisecond
	// leaderTimeout is after how long a duty is taken over from a gateway that is not heard, of few: two digests and the way.
	leaderTimeout = 450 * time.Millisecond
	// forgetPeerAfter is after how long a gateway that is not heard is no longer told anything.
	forgetPeerAfter = 30 * time.Second
	// maxDigestTargets is how many gateways one digest goes to; with more of them they are told in turn. A leader tells all, so that
	// no other takes its place.
	maxDigestTargets = 20
	// maxListedPeers is how many other gateways a digest names.
	maxListedPeers = 12
	// maxSendFailureLogs is how many datagrams that could not be sent are logged a second.
	maxSendFailureLogs = 2
	// pullTimeout bounds one pull of a table from another gateway.
	pullTimeout = time.Second
)

// peer is another gateway. It is not changed once it is known: each datagram makes a new one.
type peer struct {
	digest *cardamomyokev1.Digest
	// receivedParts has a bit for each part of the digest that came.
	receivedParts uint64
	// maxSequence is the highest sequence that was heard; probes have numbers, too.
	maxSequence uint64
	lastSeen    time.Time
	// firstSeen is when this life was heard first.
	firstSeen time.Time
}

// peers knows the other gateways: it tells them of this one and hears of them.
type peers struct {
	g        *Gateway
	sender   *digest.Sender
	receiver *digest.Receiver
	port     *controlport.Port
	// metricsPort is nil unless the settings have an address of its own for it.
	metricsPort *controlport.Port
	http        *http.Client
	ctx         context.Context
	startedAt   time.Time

	// sequence numbers the datagrams.
	sequence atomic.Uint64
	// failures logs what could not be sent.
	failures *logging.RateLimited

	mu       sync.Mutex
	detector *liveness.Detector
	byName   map[string]*peer     // by name
	hints    map[string]time.Time // addresses that were named, with the time of it
	pulling  map[string]bool      // tables that are being pulled
	lags     map[string]lag       // tables whose copy lacks a change

	// newAddresses are addresses that were never told anything.
	newAddresses []string
	// relaysAt is when enough gateways that follow a table were heard last, by table.
	relaysAt map[string]time.Time

	// The rest belongs to the control loop. turn is where the next digest goes on in the list of targets.
	nextTarget     int
	sentAt         time.Time
	peerListSentAt time.Time
	joinSentAt     time.Time // for names
}

func startPeers(ctx context.Context, g *Gateway) (*peers, error) {
	p := &peers{
		g:         g,
		ctx:       ctx,
		startedAt: time.Now(),
		http:      &http.Client{Timeout: pullTimeout},
		byName:    map[string]*peer{},
		hints:     map[string]time.Time{},
		pulling:   map[string]bool{},
		lags:      map[string]lag{},

		relaysAt: map[string]time.Time{},
		detector: newDetector(),
		failures: logging.NewRateLimited(level.Warn(g.logger), maxSendFailureLogs, time.Now),
	}
	var err error
	if p.sender, err = digest.NewSender(); err != nil {
		return nil, err
	}
	if p.receiver, err = digest.Receive(g.Settings().Listen.Peers, p.receive); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(cardamomyokev1connect.NewPeerServiceHandler(p))
	if p.port, err = controlport.Start(g.Settings().Listen.Peers, mux, g.metrics.set, nil, g.logger); err != nil {
		return nil, err
	}
	if address := g.Settings().Listen.Metrics; address != "" {
		p.metricsPort, err = controlport.Start(address, http.NewServeMux(), g.metrics.set, nil, g.logger)
	}
	return p, err
}

func (p *peers) stop() {
	_ = p.receiver.Stop(context.Background())
	_ = p.sender.Close()
	p.port.Stop()
	if p.metricsPort != nil {
		p.metricsPort.Stop()
	}
}

// receive takes in a datagram; one that is older than the last of its sender changes nothing.
func (p *peers) receive(d *cardamomyokev1.Digest) {
	if d.GetNode() == p.g.Settings().Name || d.GetRole() != cardamomyokev1.NodeRole_NODE_ROLE_GATEWAY {
		return
	}
	now := time.Now()
	p.mu.Lock()
	old := p.byName[d.GetNode()]
	next := old.merge(d, now)
	if next == nil {
		p.mu.Unlock()
		return
	}
	p.byName[d.GetNode()] = next
	p.addHints(now, append(d.GetPeers(), d.GetDigestAddress())...)
	if old != nil && old.digest.GetDigestAddress() != d.GetDigestAddress() {
		p.detector.Forget(liveness.Address(old.digest.GetDigestAddress()))
	}
	replies := p.observe(d, now)
	changes := p.detector.Changes()
	p.mu.Unlock()
	if old == nil || old.digest.GetState() != next.digest.GetState() {
		_ = level.Info(p.g.logger).Log("msg", "peer", "peer", d.GetNode(), "state", d.GetState(), "incarnation", d.GetIncarnation())
	}
	p.logPeerChanges(changes)
	p.sendProbes(replies)
	if d.GetProbe().GetJoin() {
		p.g.loop.Post(func(now time.Time) { p.sendPeerList(now, d.GetDigestAddress()) })
	}
	if d.GetProbe() == nil {
		p.g.suspects.tracker.Merge(now, quarantine.FromDigest(d)...)
		p.catchUp(d)
	}
}

// merge returns the peer as it is known after one more datagram, nil if that is not news. k is nil if nothing was known.
func (k *peer) merge(d *cardamomyokev1.Digest, now time.Time) *peer {
	first := &peer{d, partBit(d), d.GetSequence(), now, now}
	switch {
	case k == nil:
		return first
	case d.GetIncarnation() != k.digest.GetIncarnation():
		if !k.replacedBy(d, now) {
			return nil
		}
		return first
	}
	next := *k
	switch {
	case d.GetProbe() != nil:
		if d.GetSequence() <= k.maxSequence {
			return nil
		}
	case k.replacedBy(d, now):
		next.digest, next.receivedParts = d, partBit(d)
	case d.GetSequence() == k.digest.GetSequence() && k.receivedParts&partBit(d) == 0:
		next.digest, next.receivedParts = digest.Join(k.digest, d), k.receivedParts|partBit(d)
	default:
		return nil
	}
	next.maxSequence = max(k.maxSequence, d.GetSequence())
	next.lastSeen = now
	return &next
}

func partBit(d *cardamomyokev1.Digest) uint64 { return 1 << d.GetPart().GetIndex() }

// replacedBy reports whether a digest is newer than what is known. Lives are ordered by the time of day at their start.
//
// A gateway whose host's time of day was set back has a new life that sorts before the ended one. So a life that has fallen
// silent is replaced by any other; digests of an ended life do not arrive that late.
func (k *peer) replacedBy(d *cardamomyokev1.Digest, now time.Time) bool {
	if d.GetIncarnation() != k.digest.GetIncarnation() {
		return d.GetIncarnation() > k.digest.GetIncarnation() || now.Sub(k.lastSeen) > peerTimeout
	}
	return d.GetSequence() > k.digest.GetSequence()
}

// scaleTimeout scales a time after which a gateway that is not heard counts as gone to how often it is heard.
func (p *peers) scaleTimeout(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scaleTimeoutLocked(d)
}

func (p *peers) scaleTimeoutLocked(d time.Duration) time.Duration {
	if n := len(p.byName); n > maxDigestTargets {
		return d * time.Duration(n) / maxDigestTargets
	}
	return d
}

// live are the gateways that were heard lately and are not known to have ended, in no order.
func (p *peers) live(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	limit := p.scaleTimeoutLocked(peerTimeout)
	for _, k := range p.byName {
		if now.Sub(k.lastSeen) <= limit && !p.detector.Dead(k.address()) {
			out = append(out, k)
		}
	}
	return out
}

// address is where the peer takes datagrams.
func (k *peer) address() liveness.Address { return liveness.Address(k.digest.GetDigestAddress()) }

// leads reports whether the peer says that it places experts; it then tells all others each time.
func (k *peer) leads() bool { return k.digest.GetExpertsFence() > 0 }

// count is how many other gateways are live.
func (p *peers) count(now time.Time) int { return len(p.live(now)) }

func newDetector() *liveness.Detector {
	return liveness.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
