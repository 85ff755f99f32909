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
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// tick sends the join requests, probes and digests that are due. It runs on the control loop.
func (p *peers) tick(now time.Time) {
	p.join(now)
	p.contactNewPeers()
	p.probeOthers(now)
	since := now.Sub(p.sentAt)
	if since >= digestInterval || since >= workInterval && p.hasWork() {
		p.sendToTargets(now)
	}
}

// hasWork reports whether this gateway has requests in flight that the peers should count.
func (p *peers) hasWork() bool {
	for _, s := range p.g.control.services {
		if len(s.gate.OwnWork()) > 0 {
			return true
		}
	}
	return false
}

// sendToTargets sends a digest to the next targets.
func (p *peers) sendToTargets(now time.Time) { p.send(now, p.targets(now)) }

// sendToAll sends a digest to all peers, as when this gateway leaves or announces a change of the store.
func (p *peers) sendToAll(now time.Time) { p.send(now, p.others(now)) }

func (p *peers) send(now time.Time, to []string) {
	p.sentAt = now
	d := p.compose()
	if now.Sub(p.peerListSentAt) >= p.peerListInterval(now) {
		p.peerListSentAt = now
		d.Peers = p.samplePeers(now)
	}
	first, rest := sample(to, maxLimitTargets)
	news, cold := p.g.limits.news(len(first), now), p.g.cold.news(len(first), now)
	accounts := p.g.accountNews(now)
	if news == nil && cold == nil && accounts == nil {
		p.sendTo(to, d)
		return
	}
	p.sendTo(rest, d)
	d.Limits, d.Cold, d.Accounts = news, cold, accounts
	p.sendTo(first, d)
}

// maxLimitTargets is how many targets of a digest get new limits with it. They pass them on, so that all gateways have
// them after a few rounds, and none sends them to all.
const maxLimitTargets = 5

// sample splits a list into a random selection of at most n and the rest. It reorders its argument.
func sample(list []string, n int) (selected, rest []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	n = min(n, len(list))
	return list[:n], list[n:]
}

// sendTo sends one digest to the given addresses. A lost digest is superseded by the next one.
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

// header returns the fields about this gateway that each datagram contains.
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

// compose returns a digest with this gateway's full state.
func (p *peers) compose() *cardamomyokev1.Digest {
	g := p.g
	d := p.header()
	if c := g.view.Load().config; c != nil {
		d.Revision = uint64(c.Revision)
	}
	d.ExpertsFence = g.experts.fence.Load()
	d.ExpertsSpare = uint64(g.experts.election.spare)
	d.Hold = g.experts.holds.current(ids.Fence(d.GetExpertsFence()))
	for _, f := range g.followers {
		d.News = append(d.News, tableNews(f))
	}
	d.Slow = g.experts.allSlowRanks()
	suspects := g.suspects.tracker.Digest(time.Now(), maxDigestSuspects)
	d.Suspects = quarantine.ToDigest(suspects)
	d.Parts, d.PartsLoaded = g.suspects.parts.digest(time.Now())
	d.PartsLoaded = d.PartsLoaded && quarantine.Covers(suspects, g.suspects.tracker.Stored(time.Now()))
	d.Work = g.workColumns()
	d.FirstAttempts = g.firstAttemptColumns(time.Now())
	d.RetryGrants = true
	p.mu.Lock()
	d.Rumors = rumorColumns(p.detector.Rumors(maxRumors))
	p.mu.Unlock()
	return d
}

// tableNews returns what a digest says about a followed table.
func tableNews(f *replica.Follower) *cardamomyokev1.TableNews {
	newest := f.Replica.Newest()
	return &cardamomyokev1.TableNews{
		Table: f.Replica.Name(), Newest: newest.Version, Era: newest.Era,
		EraAgeTenths: eraAgeTenths(f.Replica.EraAge()), Earlier: f.Replica.EarlierFingerprint(),
		Following: f.Following(), Lost: !f.Connection().Up,
	}
}

// maxEraAgeTenths is the largest age of an era in a digest. It is longer than rows of earlier eras count.
const maxEraAgeTenths = 127

func eraAgeTenths(age time.Duration) uint32 {
	return uint32(min(age/eraAgeUnit, maxEraAgeTenths))
}

// workColumns returns the requests that this gateway has in flight by upstream, nil if there are none.
func (g *Gateway) workColumns() *cardamomyokev1.WorkColumns {
	var columns *cardamomyokev1.WorkColumns
	for _, s := range g.control.services {
		for incarnation, w := range s.gate.OwnWork() {
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

// shortHashOf is hashOf in half as many bytes, for uses that tolerate a rare collision.
func shortHashOf(i ids.UpstreamIncarnation) uint32 { return uint32(hashOf(i)) }

// serviceHash identifies a service in digests.
func serviceHash(name ids.Service) uint32 { return uint32(xxhash.Sum64String(string(name))) }

// hashOf identifies an upstream's incarnation in digests, so that reports about a dead incarnation do not match the
// current one.
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

// others returns the addresses of all other gateways: from the settings, from received digests, and from peer lists. It
// drops those not seen or listed within forgetPeerAfter.
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

// targets returns the addresses that receive the next digest. A leader sends to all each time.
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

// sharing returns how many gateways accept requests, and the interval at which each peer sends its work to this one.
func (p *peers) sharing(now time.Time) dispatch.Sharing {
	ready := 1 + len(p.ready(now))
	rounds := max(1, (ready-1+maxDigestTargets-1)/maxDigestTargets)
	return dispatch.Sharing{Gateways: ready, Interval: workInterval * time.Duration(rounds)}
}

// peerListInterval returns the current interval between peer lists.
func (p *peers) peerListInterval(now time.Time) time.Duration {
	for _, k := range p.live(now) {
		if now.Sub(k.firstSeen) < newPeerPeriod {
			return newPeerListInterval
		}
	}
	return peerListInterval
}

// samplePeers returns the addresses of a random selection of live peers.
func (p *peers) samplePeers(now time.Time) []string {
	var out []string
	for _, k := range p.live(now) {
		out = append(out, k.digest.GetDigestAddress())
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(maxListedPeers, len(out))]
}
