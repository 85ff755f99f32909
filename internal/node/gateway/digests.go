package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/quarantine"
	"github.com/cardamomyoke/cardamomyoke/internal/state/digest"
)

// tick asks others for signs of life, and tells them of this gateway when it is due.
func (p *peers) tick(now time.Time) {
	p.join(now)
	p.contactNewPeers()
	p.probeOthers(now)
	since := now.Sub(p.sentAt)
	if since >= digestInterval || since >= workInterval && p.workChanged() {
		p.sendToTargets(now)
	}
}

// workChanged reports whether there is work that others should count.
func (p *peers) workChanged() bool {
	for _, s := range p.g.control.services {
		if len(s.gate.Own()) > 0 {
			return true
		}
	}
	return false
}

// sendToTargets sends a digest to the others whose turn it is.
func (p *peers) sendToTargets(now time.Time) { p.send(now, p.targets(now)) }

// sendToAll sends a digest to all others, as when this gateway leaves or has news of the store for them.
func (p *peers) sendToAll(now time.Time) { p.send(now, p.others(now)) }

func (p *peers) send(now time.Time, to []string) {
	p.sentAt = now
	d := p.compose()
	if now.Sub(p.peerListSentAt) >= p.peerListInterval(now) {
		p.peerListSentAt = now
		d.Peers = p.samplePeers(now)
	}
	p.sendTo(to, d)
}

// sendTo sends one digest to some others. What does not arrive is replaced by the next one.
func (p *peers) sendTo(to []string, d *cardamomyokev1.Digest) {
	datagrams, err := digest.Encode(d)
	if err != nil {
		p.sendFailed("", err)
		return
	}
	for _, address := range to {
		if _, err := p.sender.SendEncoded(address, datagrams); err != nil {
			p.sendFailed(address, err)
		}
	}
}

func (p *peers) sendFailed(address string, err error) {
	p.g.metrics.digestFailed()
	_ = p.failures.Log("msg", "digest not sent", "peer_address", address, "err", err)
}

// header is what each datagram says of this gateway.
func (p *peers) header() *cardamomyokev1.Digest {
	s := p.g.Settings()
	return &cardamomyokev1.Digest{
		Node:          s.Name,
		Incarnation:   string(p.g.incarnation),
		Sequence:      p.sequence.Add(1),
		Role:          cardamomyokev1.NodeRole_NODE_ROLE_GATEWAY,
		State:         digestState(p.g.view.Load().state),
		DataCentre:    string(s.DataCentre),
		HttpAddress:   s.Listen.Callers,
		DigestAddress: s.Listen.Peers,
		CpuMillis:     s.Limits.cpuMillis(),
	}
}

// compose is a digest with all that this gateway tells the others of itself.
func (p *peers) compose() *cardamomyokev1.Digest {
	g := p.g
	d := p.header()
	d.ExpertsFence = g.experts.fence.Load()
	d.ExpertsSpare = uint64(g.experts.election.spare)
	for _, f := range g.followers {
		d.News = append(d.News, &cardamomyokev1.TableNews{
			Table: f.Replica.Name(), Newest: f.Replica.Newest(), Following: f.Following(), Lost: !f.Connection().Up,
		})
	}
	d.Slow = g.experts.allSlowRanks()
	d.Suspects = quarantine.ToDigest(g.suspects.tracker.Digest(time.Now(), maxDigestSuspects))
	d.Work = g.workColumns()
	p.mu.Lock()
	d.Rumors = rumorColumns(p.detector.Rumors(maxRumors))
	p.mu.Unlock()
	return d
}

// workColumns is what this gateway has in flight, nil if it is nothing.
func (g *Gateway) workColumns() *cardamomyokev1.WorkColumns {
	var columns *cardamomyokev1.WorkColumns
	for _, s := range g.control.services {
		for incarnation, w := range s.gate.Own() {
			if columns == nil {
				columns = &cardamomyokev1.WorkColumns{}
			}
			columns.Upstreams = append(columns.Upstreams, shortHashOf(incarnation))
			columns.Requests = append(columns.Requests, uint32(w.Requests))
			columns.PromptTokens = append(columns.PromptTokens, uint32(max(0, w.PromptTokens)))
		}
	}
	return columns
}

// shortHashOf is hashOf in half as many bytes, for what may be mistaken once in a while.
func shortHashOf(i ids.UpstreamIncarnation) uint32 { return uint32(hashOf(i)) }

// hashOf stands for an upstream's life in digests: what others tell of an ended life matches no present one.
func hashOf(i ids.UpstreamIncarnation) uint64 { return xxhash.Sum64String(i.String()) }

func digestState(s nodeState) cardamomyokev1.NodeState {
	switch s {
	case stateReady:
		return cardamomyokev1.NodeState_NODE_STATE_LIVE
	case stateLeaving, stateClosing:
		return cardamomyokev1.NodeState_NODE_STATE_LEAVING
	}
	return cardamomyokev1.NodeState_NODE_STATE_UNSPECIFIED
}

// others are the addresses of all other gateways: those of the settings, those heard of, and those that others named.
func (p *peers) others(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]bool{}
	for _, a := range p.g.Settings().Peers {
		all[a] = true
	}
	for name, k := range p.byName {
		if now.Sub(k.lastSeen) > forgetPeerAfter {
			delete(p.byName, name)
			p.detector.Forget(k.address())
			continue
		}
		all[k.digest.GetDigestAddress()] = true
	}
	for a, at := range p.hints {
		if now.Sub(at) > forgetPeerAfter {
			delete(p.hints, a)
			continue
		}
		all[a] = true
	}
	delete(all, p.g.Settings().Listen.Peers)
	return slices.Sorted(maps.Keys(all))
}

// targets are the addresses to tell now. A leader tells all each time.
func (p *peers) targets(now time.Time) []string {
	out := p.others(now)
	if len(out) <= maxDigestTargets || p.g.experts.fence.Load() > 0 {
		return out
	}
	selected := make([]string, 0, maxDigestTargets)
	for i := range maxDigestTargets {
		selected = append(selected, out[(p.nextTarget+i)%len(out)])
	}
	p.nextTarget = (p.nextTarget + maxDigestTargets) % len(out)
	return selected
}

// sharing is how many gateways take requests, and how often each of the others tells this one of its work.
func (p *peers) sharing(now time.Time) dispatch.Sharing {
	ready := 1
	for _, k := range p.live(now) {
		if k.digest.GetState() == cardamomyokev1.NodeState_NODE_STATE_LIVE {
			ready++
		}
	}
	rounds := max(1, (ready-1+maxDigestTargets-1)/maxDigestTargets)
	return dispatch.Sharing{Gateways: ready, Interval: workInterval * time.Duration(rounds)}
}

// peerListInterval is how often names are told now.
func (p *peers) peerListInterval(now time.Time) time.Duration {
	for _, k := range p.live(now) {
		if now.Sub(k.firstSeen) < newPeerPeriod {
			return newPeerListInterval
		}
	}
	return peerListInterval
}

// samplePeers are some live gateways for others to know.
func (p *peers) samplePeers(now time.Time) []string {
	var out []string
	for _, k := range p.live(now) {
		out = append(out, k.digest.GetDigestAddress())
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(maxListedPeers, len(out))]
}
