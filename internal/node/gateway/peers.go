package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/controlport"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
)

const (
	// digestEvery is how often a gateway tells the others of itself when nothing changes, workEvery when its work does.
	digestEvery = 200 * time.Millisecond
	workEvery   = 100 * time.Millisecond
	// namesEvery is how often a digest names other gateways, newNamesEvery the same while some are new.
	namesEvery    = time.Second
	newNamesEvery = 200 * time.Millisecond
	// newFor is for how long a gateway counts as new: until others have named it a few times.
	newFor = 1500 * time.Millisecond
	// unknownFor is how long after its start a gateway takes a leader that it has not heard for one that it does not know
	// yet: with 40 gateways that start together names reach all within a second.
	unknownFor = 1200 * time.Millisecond
	// peerSilent is after how long a gateway that is not heard is no longer given out: three digests and a margin.
	peerSilent = 800 * time.Millisecond
	// leaderSilent is after how long a duty is taken over from a gateway that is not heard: two digests and the way.
	leaderSilent = 450 * time.Millisecond
	// peerForgotten is after how long a gateway that is not heard is no longer told anything.
	peerForgotten = 30 * time.Second
	// maxTold is how many gateways one digest goes to; with more of them they are told in turn, and are silent for longer
	// before they count as gone. A leader tells all, so that no other takes its place.
	maxTold = 20
	// maxNamed is how many other gateways a digest names.
	maxNamed = 12
	// pullTimeout bounds one pull of a table from another gateway.
	pullTimeout = time.Second
)

// peer is another gateway.
type peer struct {
	digest  *cardamomyokev1.Digest
	heardAt time.Time
	// firstAt is when this life was heard first.
	firstAt time.Time
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
	began       time.Time

	mu      sync.Mutex
	known   map[string]*peer     // by name
	hints   map[string]time.Time // addresses that were named, with the time of it
	pulling map[string]bool      // tables that are being pulled
	lags    map[string]lag       // tables whose copy lacks a change

	// The rest belongs to the control loop. turn is where the next digest goes on in the list of targets.
	turn     int
	sequence uint64
	toldAt   time.Time
	namedAt  time.Time
}

func startPeers(ctx context.Context, g *Gateway) (*peers, error) {
	p := &peers{
		g:       g,
		ctx:     ctx,
		began:   time.Now(),
		http:    &http.Client{Timeout: pullTimeout},
		known:   map[string]*peer{},
		hints:   map[string]time.Time{},
		pulling: map[string]bool{},
		lags:    map[string]lag{},
	}
	var err error
	if p.sender, err = digest.NewSender(); err != nil {
		return nil, err
	}
	if p.receiver, err = digest.Receive(g.Settings().Listen.Peers, p.hear); err != nil {
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

// hear takes in a digest; one that is older than the last of its sender changes nothing.
func (p *peers) hear(d *cardamomyokev1.Digest) {
	if d.GetNode() == p.g.Settings().Name || d.GetRole() != cardamomyokev1.NodeRole_NODE_ROLE_GATEWAY {
		return
	}
	now := time.Now()
	p.mu.Lock()
	old := p.known[d.GetNode()]
	if old != nil && !old.replacedBy(d, now) {
		p.mu.Unlock()
		return
	}
	first := now
	if old != nil && old.digest.GetIncarnation() == d.GetIncarnation() {
		first = old.firstAt
	}
	p.known[d.GetNode()] = &peer{d, now, first}
	for _, address := range d.GetPeers() {
		p.hints[address] = now
	}
	p.mu.Unlock()
	if old == nil || old.digest.GetState() != d.GetState() {
		_ = level.Info(p.g.logger).Log("msg", "peer", "peer", d.GetNode(), "state", d.GetState(), "incarnation", d.GetIncarnation())
	}
	p.g.suspects.keeper.Merge(now, quarantine.FromDigest(d)...)
	p.catchUp(d)
}

// replacedBy reports whether a digest is newer than what is known. Lives are ordered by the time of day at their start.
//
// Failure: a gateway restarts just after its host's time of day was set back. Its new life sorts before the one that has
// ended, and others would not hear it until they had forgotten the old one. A life that has fallen silent is therefore
// replaced by any other; digests of an ended life do not arrive that late.
func (k *peer) replacedBy(d *cardamomyokev1.Digest, now time.Time) bool {
	if d.GetIncarnation() != k.digest.GetIncarnation() {
		return d.GetIncarnation() > k.digest.GetIncarnation() || now.Sub(k.heardAt) > peerSilent
	}
	return d.GetSequence() > k.digest.GetSequence()
}

// silence scales a time after which a gateway that is not heard counts as gone to how often it is heard.
func (p *peers) silence(d time.Duration) time.Duration {
	if n := len(p.known); n > maxTold {
		return d * time.Duration(n) / maxTold
	}
	return d
}

// live are the gateways that were heard lately, in no order.
func (p *peers) live(now time.Time) []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*peer
	limit := p.silence(peerSilent)
	for _, k := range p.known {
		if now.Sub(k.heardAt) <= limit {
			out = append(out, k)
		}
	}
	return out
}

// count is how many other gateways are live.
func (p *peers) count(now time.Time) int { return len(p.live(now)) }
