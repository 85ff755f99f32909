package dispatch

import (
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// NearUpstreams prefers upstreams in the gateway's own data centre.
const NearUpstreams Mechanism = "near"

// Near says where this gateway is, for a service whose upstreams are in several data centres.
type Near struct {
	// DataCentre is the gateway's own. Delays holds the one-way delays from it to others; one that is missing is 0.
	DataCentre ids.DataCentre
	Delays     map[ids.DataCentre]time.Duration
}

const (
	// nearMargin is by how much the first event may be expected later at an upstream in the own data centre than at the
	// least loaded one. More of it keeps more streams near, and makes passes longer, as prompts gather at fewer upstreams.
	nearMargin = 5 * time.Millisecond
	// fullExponent shapes the chance that a slot counted as free is taken by another gateway: a sixteenth with half of
	// the slots in use, two thirds with nine tenths.
	fullExponent = 4
	// maxNearUsage is the fraction of all slots in use above which load alone decides. The longest prefill of all ranks
	// sets the length of a pass, and the preference gathers prompts where the demand is highest.
	maxNearUsage = 0.6
)

// preferNear returns the upstream that gets the request: best, which was chosen by load, or one in the own data centre
// whose first event is expected hardly later. It reorders the candidates.
//
// Bytes between data centres cost, and each way takes a delay. A remote upstream gets the request where it is expected
// sooner by more than the margin, or where only it is expected in time.
func (p *Pool) preferNear(r Request, candidates []*upstreamState, best *upstreamState, now time.Time) *upstreamState {
	near := p.opts.Near
	if near == nil || p.opts.Engine == nil || p.opts.Disabled[NearUpstreams] || best.listed.DataCentre == near.DataCentre || p.usage() > maxNearUsage {
		return best
	}
	n := 0
	for i, c := range candidates {
		if c.listed.DataCentre == near.DataCentre {
			candidates[n], candidates[i] = c, candidates[n]
			n++
		}
	}
	if n == 0 {
		return best
	}
	local := p.leastLoaded(candidates[:n], p.choices(n, now))
	unreported := p.unreported(now) / float64(len(p.order))
	here, there := p.timeToFirstEvent(r, local, unreported), p.timeToFirstEvent(r, best, unreported)
	onlyThere := now.Add(here).After(r.Target) && !now.Add(there).After(r.Target)
	if here > there+nearMargin || onlyThere {
		return best
	}
	return local
}

// usage returns the fraction of the slots of usable upstreams that is known to be in use.
func (p *Pool) usage() float64 {
	requests, slots := 0, 0
	for _, u := range p.order {
		if u.acceptsRequests() && !u.closed {
			requests += u.own.Requests + u.others.Requests
			slots += max(1, u.listed.Slots)
		}
	}
	return float64(requests) / float64(max(1, slots))
}

// timeToFirstEvent estimates when the first event of a request would arrive that is sent to an upstream now: after the
// wait for a slot, the passes that read the prompts, and the delay of both ways. unreported is the number of requests
// that other gateways have probably sent there since their last report.
func (p *Pool) timeToFirstEvent(r Request, u *upstreamState, unreported float64) time.Duration {
	e, all := p.opts.Engine, u.own.plus(u.others)
	pass := float64(e.Stride) * (e.StepBase + time.Duration(all.Requests)*e.StepPerRequest).Seconds()
	tokens := float64(all.PromptTokens + r.PromptTokens)
	seconds := pass
	if e.Chunk > 0 {
		seconds += pass * math.Floor(tokens/float64(e.Chunk*e.Stride))
	}
	if e.PromptTokensPerSecond > 0 {
		seconds += tokens / e.PromptTokensPerSecond
	}
	slots := float64(max(1, u.listed.Slots))
	requests := float64(all.Requests) + unreported
	slotWait := pass * e.MeanOutputTokens / slots
	seconds += slotWait * (math.Pow(min(1, requests/slots), fullExponent) + max(0, requests-slots))
	if u.slowdown > 1 {
		seconds *= u.slowdown
	}
	return time.Duration(seconds*float64(time.Second)) + 2*p.opts.Near.Delays[u.listed.DataCentre]
}
