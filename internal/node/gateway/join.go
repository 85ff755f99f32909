package gateway

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
)

// joining reports whether this gateway has just started and may not have state for its peers yet.
//
// When all gateways start together, each of them sees only a few peers at first. Without this period each would lead,
// allocate fencing tokens and follow the store.
func (p *peers) joining(now time.Time) bool { return now.Sub(p.startedAt) < joinPeriod }

// isolated reports whether this gateway has several peers and received no message from any of them within
// leaderTimeout. It cannot determine then whether a peer is dead, and takes over no duty.
func (p *peers) isolated(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isolatedLocked(now)
}

func (p *peers) isolatedLocked(now time.Time) bool {
	for _, k := range p.byName {
		if now.Sub(k.lastSeen) <= leaderTimeout {
			return false
		}
	}
	return len(p.byName) > 1
}

// announce sends a digest to all peers after a change that they should receive immediately. It sends nothing while this
// gateway joins, as gateways that start together observe the change themselves.
func (p *peers) announce(now time.Time) {
	if !p.joining(now) {
		p.sendToAll(now)
	}
}

// join requests peer lists from the gateways in the settings while this gateway joins.
func (p *peers) join(now time.Time) {
	if !p.joining(now) || now.Sub(p.joinSentAt) < joinInterval {
		return
	}
	p.joinSentAt = now
	var probes []probe
	for _, a := range p.g.Settings().Peers {
		if a != p.g.Settings().Listen.Peers {
			probes = append(probes, probe{liveness.Address(a), &cardamomyokev1.Probe{Join: true}, nil})
		}
	}
	p.sendProbes(probes)
}

// sendPeerList sends the addresses of all peers, the limits of upstreams and the evidence of crashes to a gateway that joins.
func (p *peers) sendPeerList(now time.Time, to string) {
	d := p.compose()
	d.Peers = p.others(now)
	d.Limits = p.g.limits.newest(now)
	d.Parts, d.PartsLoaded = p.g.suspects.parts.all()
	d.Suspects = quarantine.ToDigest(p.g.suspects.tracker.Stored(now))
	p.sendTo([]string{to}, d)
}

// addHints records addresses of other gateways; the next tick sends this gateway's digest to the new ones. The caller
// holds the lock.
func (p *peers) addHints(now time.Time, addresses ...string) {
	for _, a := range addresses {
		if _, known := p.hints[a]; !known && a != p.g.Settings().Listen.Peers {
			p.newAddresses = append(p.newAddresses, a)
		}
		p.hints[a] = now
	}
}

// contactNewPeers sends a digest to the addresses that have never received one.
func (p *peers) contactNewPeers() {
	p.mu.Lock()
	addresses := p.newAddresses
	p.newAddresses = nil
	p.mu.Unlock()
	if len(addresses) > 0 {
		p.sendTo(addresses, p.compose())
	}
}
