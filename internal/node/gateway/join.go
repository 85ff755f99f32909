package gateway

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
)

// joining reports whether this gateway has just started and does not know the others yet.
//
// When all gateways start together, each that takes itself for one of a few would lead, draw numbers and follow the store.
func (p *peers) joining(now time.Time) bool { return now.Sub(p.startedAt) < joinPeriod }

// isolated reports whether this gateway hears none of several others. It cannot tell then whether one of them has ended, and
// takes no duty for it.
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

// announce tells all others of a change here that they should know at once. While all start, each of them sees it itself.
func (p *peers) announce(now time.Time) {
	if !p.joining(now) {
		p.sendToAll(now)
	}
}

// join asks the gateways of the settings for names while this one is new.
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

// sendPeerList tells a gateway that has just started of all others.
func (p *peers) sendPeerList(now time.Time, to string) {
	d := p.compose()
	d.Peers = p.others(now)
	p.sendTo([]string{to}, d)
}

// addHints takes in addresses of other gateways; those that are new are told of this one at the next tick. The lock is held.
func (p *peers) addHints(now time.Time, addresses ...string) {
	for _, a := range addresses {
		if _, known := p.hints[a]; !known && a != p.g.Settings().Listen.Peers {
			p.newAddresses = append(p.newAddresses, a)
		}
		p.hints[a] = now
	}
}

// contactNewPeers tells those that have never been told of this gateway.
func (p *peers) contactNewPeers() {
	p.mu.Lock()
	addresses := p.newAddresses
	p.newAddresses = nil
	p.mu.Unlock()
	if len(addresses) > 0 {
		p.sendTo(addresses, p.compose())
	}
}
