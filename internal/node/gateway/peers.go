package gateway

import (
	"context"
	"math/bits"
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
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
)

const (
	// digestInterval is the interval between digests while nothing changes; workInterval applies while this gateway has
	// requests in flight.
	digestInterval = 200 * time.Millisecond
	workInterval   = 100 * time.Millisecond
	// peerListInterval is how often a digest contains addresses of peers; newPeerListInterval applies while some peers
	// are new.
	peerListInterval    = time.Second
	newPeerListInterval = 200 * time.Millisecond
	// newPeerPeriod is how long a peer counts as new: until the others have listed it a few times.
	newPeerPeriod = 1500 * time.Millisecond
	// joinPeriod is how long a newly started gateway only discovers its peers, and contends for no duty: peer lists travel to
	// the gateways in its settings and back.
	joinPeriod = 450 * time.Millisecond
	// joinInterval is the time between two requests for peer lists.
	joinInterval = 150 * time.Millisecond
	// unknownLeaderTimeout is how long after its start a gateway assumes that a leader without any message is alive but
	// not discovered yet: the addresses of gateways that start together reach all within a second.
	unknownLeaderTimeout = 1200 * time.Millisecond
	// peerTimeout is the time without a message after which a peer's address is no longer given to callers, even if no
	// gateway has declared it dead: three digests and a margin.
	peerTimeout = 800 * time.Millisecond
	// leaderTimeout is the time without a message after which a duty is taken over, in a small deployment: two digests
	// and the network delay.
	leaderTimeout = 450 * time.Millisecond
	// forgetPeerAfter is the time without a message after which a peer receives no more digests.
	forgetPeerAfter = 30 * time.Second
	// maxDigestTargets is how many peers receive one digest; if there are more, they take turns. A leader sends to all,
	// so that no peer takes over its duty.
	maxDigestTargets = 20
	// maxListedPeers is how many peer addresses a digest contains.
	maxListedPeers = 12
	// maxSendFailureLogs is how many datagrams that could not be sent are logged per second.
	maxSendFailureLogs = 2
	// pullTimeout bounds one pull of a table from a peer.
	pullTimeout = time.Second
	// maxPullBytes limits the body of a peer's answer to a pull, and maxPullHeaderBytes its header. The largest table is the
	// configuration, with some MB of client accounts.
	maxPullBytes       = 16 << 20
	maxPullHeaderBytes = 16 << 10
	// pullIdleTimeout is how long an idle connection to a peer is kept.
	pullIdleTimeout = 90 * time.Second
)

// peer is the state of another gateway. It is immutable: each datagram creates a new one.
type peer struct {
	digest *cardamomyokev1.Digest
	// receivedParts has a bit for each received part of the digest.
	receivedParts uint64
	// maxSequence is the highest sequence number received, which may be that of a probe.
	maxSequence uint64
	lastSeen    time.Time
	// digestAt is when the digest was received, not counting probes.
	digestAt time.Time
	// firstSeen is when the first message of this incarnation was received.
	firstSeen time.Time
}

// peers exchanges digests and probes with the other gateways and holds their state.
type peers struct {
	g        *Gateway
	sender   *digest.Sender
	receiver *digest.Receiver
	port     *controlport.Port
	// metricsPort is nil unless the settings contain a separate address for metrics.
	metricsPort *controlport.Port
	http        *http.Client
	ctx         context.Context
	startedAt   time.Time

	// sequence numbers the sent datagrams.
	sequence atomic.Uint64
	// failures logs datagrams that could not be sent.
	failures *logging.RateLimited

	mu       sync.Mutex
	detector *liveness.Detector
	byName   map[string]*peer     // keyed by node name
	hints    map[string]time.Time // addresses from peer lists and digests, with the time they were last received
	pulling  map[string]bool      // tables with a pull in progress
	lags     map[string]lag       // missing versions by table

	// newAddresses are addresses that have never received a digest.
	newAddresses []string
	// followersSeenAt is when enough peers that follow a table were last seen, by table.
	followersSeenAt map[string]time.Time
	// delegates holds the tables of which this gateway leaves calls of the store to others.
	delegates map[string]bool
	// pulledEra is the latest era of which a peer has sent a table since the start, by table.
	pulledEra map[string]uint64
	// earlierPulledAt is when rows of earlier eras were last pulled, by table.
	earlierPulledAt map[string]time.Time

	// The fields below belong to the control loop. nextTarget is the index of the next digest's first target.
	nextTarget     int
	sentAt         time.Time
	peerListSentAt time.Time
	joinSentAt     time.Time // when peer lists were last requested
}

func startPeers(ctx context.Context, g *Gateway) (*peers, error) {
	p := &peers{
		g:         g,
		ctx:       ctx,
		startedAt: time.Now(),
		http:      &http.Client{Timeout: pullTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxPullHeaderBytes, IdleConnTimeout: pullIdleTimeout}},
		byName:    map[string]*peer{},
		hints:     map[string]time.Time{},
		pulling:   map[string]bool{},
		lags:      map[string]lag{},

		followersSeenAt: map[string]time.Time{},
		delegates:       map[string]bool{},
		pulledEra:       map[string]uint64{},
		earlierPulledAt: map[string]time.Time{},
		detector:        newDetector(),
		failures:        logging.NewRateLimited(level.Warn(g.logger), maxSendFailureLogs, time.Now),
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
	mux.Handle(cardamomyokev1connect.NewEvacuationServiceHandler(evacuationService{g}))
	mux.Handle(cardamomyokev1connect.NewPartServiceHandler(partService{g}))
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

// receive processes a datagram; one that is older than the last of its sender is ignored.
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
	p.g.forwardHold(d, now)
	if d.GetProbe().GetJoin() {
		p.g.loop.Post(func(now time.Time) { p.sendPeerList(now, d.GetDigestAddress()) })
	}
	if d.GetProbe() == nil {
		p.g.suspects.merge(quarantine.FromDigest(d), now)
		p.mergeParts(d, next.complete(), now)
		p.g.limits.merge(d.GetLimits(), now)
		p.g.cold.merge(d.GetCold(), now)
		p.g.recordAccounts(d, now)
		p.catchUp(d)
	}
}

// merge returns the peer's state after one more datagram, nil if the datagram contains nothing new. k is nil if there
// is no state yet.
func (k *peer) merge(d *cardamomyokev1.Digest, now time.Time) *peer {
	first := &peer{d, partBit(d), d.GetSequence(), now, now, now}
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
		next.digest, next.receivedParts, next.digestAt = d, partBit(d), now
	case d.GetSequence() == k.digest.GetSequence() && k.receivedParts&partBit(d) == 0:
		next.digest, next.receivedParts = digest.Join(k.digest, d), k.receivedParts|partBit(d)
	default:
		return nil
	}
	next.maxSequence = max(k.maxSequence, d.GetSequence())
	next.lastSeen = now
	return &next
}

// complete reports whether all parts of the digest were received.
func (k *peer) complete() bool {
	return bits.OnesCount64(k.receivedParts) >= max(1, int(k.digest.GetPart().GetCount()))
}

// mergeParts merges the parts under which upstreams crash from a datagram; all is set once the whole digest was received.
func (p *peers) mergeParts(d *cardamomyokev1.Digest, all bool, now time.Time) {
	if p.g.disabled(mechanismSuspects) {
		return
	}
	if len(d.GetParts()) > 0 {
		p.g.suspects.parts.merge(blame.FromProto(d.GetParts()), now)
	}
	if d.GetPartsLoaded() && all && p.g.crashStore != nil {
		p.g.crashStore.setKnown("a peer has sent them")
	}
}

func partBit(d *cardamomyokev1.Digest) uint64 { return 1 << d.GetPart().GetIndex() }

// replacedBy reports whether a digest is newer than the recorded one. Incarnations are ordered by the wall clock at
// their start.
//
// After a host's wall clock was set back, a restarted gateway has an incarnation that sorts before its previous one.
// Any other incarnation therefore replaces one without a message within peerTimeout; digests of a dead incarnation do
// not arrive that late.
func (k *peer) replacedBy(d *cardamomyokev1.Digest, now time.Time) bool {
	if d.GetIncarnation() != k.digest.GetIncarnation() {
		return d.GetIncarnation() > k.digest.GetIncarnation() || now.Sub(k.lastSeen) > peerTimeout
	}
	return d.GetSequence() > k.digest.GetSequence()
}

// scaleTimeout scales a timeout for messages of a peer to the number of peers, as each of many peers sends less often.
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

// live returns the peers that were seen within the scaled peerTimeout and are not known to be dead, in no particular
// order.
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

// address returns the address at which the peer receives datagrams.
func (k *peer) address() liveness.Address { return liveness.Address(k.digest.GetDigestAddress()) }

// leads reports whether the peer places experts, according to its digest. A leader sends each digest to all gateways.
func (k *peer) leads() bool { return k.digest.GetExpertsFence() > 0 }

// leaves reports whether the peer has been stopped and is about to exit, according to its digest.
func (k *peer) leaves() bool {
	return k.digest.GetState() == cardamomyokev1.NodeState_NODE_STATE_LEAVING
}

// count returns the number of live peers.
func (p *peers) count(now time.Time) int { return len(p.live(now)) }

func newDetector() *liveness.Detector {
	return liveness.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}
