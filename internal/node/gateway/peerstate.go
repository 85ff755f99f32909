package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// maxAddresses is the maximum number of addresses in a directory response.
const maxAddresses = 64

// ready returns the live peers that accept requests.
func (p *peers) ready(now time.Time) []*peer {
	return slices.DeleteFunc(p.live(now), func(k *peer) bool {
		return k.digest.GetState() != cardamomyokev1.NodeState_NODE_STATE_LIVE
	})
}

// addresses returns the addresses that callers may use: those of all gateways that are ready, including this one.
func (p *peers) addresses(now time.Time) []string {
	var out []string
	if p.g.view.Load().state == stateReady {
		out = append(out, p.g.Settings().Listen.Callers)
	}
	for _, k := range p.ready(now) {
		out = append(out, k.digest.GetHttpAddress())
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(maxAddresses, len(out))]
	slices.Sort(out)
	return out
}

// readyNames returns the names of all gateways that accept requests, including this one.
func (p *peers) readyNames(now time.Time) []string {
	var out []string
	if p.g.view.Load().state == stateReady {
		out = append(out, p.g.Settings().Name)
	}
	for _, k := range p.ready(now) {
		out = append(out, k.digest.GetNode())
	}
	return out
}

// slowdowns returns the slowdown factors of the slow ranks among a service's upstreams, as reported by the leader,
// which may be this gateway.
func (p *peers) slowdowns(name ids.Service, upstreams *catalog.Upstreams, now time.Time) map[ids.UpstreamIncarnation]float64 {
	byHash := map[uint64]float64{}
	for _, s := range p.g.experts.allSlowRanks() {
		byHash[s.GetUpstream()] = s.GetPace()
	}
	for _, k := range p.live(now) {
		for _, s := range k.digest.GetSlow() {
			byHash[s.GetUpstream()] = s.GetPace()
		}
	}
	if len(byHash) == 0 {
		return nil
	}
	out := map[ids.UpstreamIncarnation]float64{}
	for _, u := range upstreams.Of(name) {
		if slowdown, ok := byHash[hashOf(u.Incarnation())]; ok {
			out[u.Incarnation()] = slowdown
		}
	}
	return out
}

// work returns the requests that the peers have in flight at a service's upstreams, and the last-seen time of the live
// peer that was seen least recently.
func (p *peers) work(name ids.Service, upstreams *catalog.Upstreams, now time.Time) (map[ids.UpstreamIncarnation]dispatch.Work, time.Time) {
	sum := map[uint32]dispatch.Work{}
	var oldest time.Time
	for _, k := range p.live(now) {
		if oldest.IsZero() || k.lastSeen.Before(oldest) {
			oldest = k.lastSeen
		}
		w := k.digest.GetWork()
		for i, upstream := range w.GetUpstreams() {
			s := sum[upstream]
			s.Requests += int(w.GetRequests()[i])
			s.PromptTokens += int(w.GetPromptTokens()[i])
			sum[upstream] = s
		}
	}
	out := map[ids.UpstreamIncarnation]dispatch.Work{}
	for _, u := range upstreams.Of(name) {
		if w, ok := sum[shortHashOf(u.Incarnation())]; ok {
			out[u.Incarnation()] = w
		}
	}
	return out, oldest
}
