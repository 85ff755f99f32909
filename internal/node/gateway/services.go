package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// updateServices gives each service's gate its upstreams and options.
func (g *Gateway) updateServices(now time.Time) {
	if g.control.config == nil {
		return
	}
	next := make(map[ids.Service]*service, len(g.control.config.Services))
	for name, c := range g.control.config.Services {
		s := g.control.services[name]
		if s == nil {
			rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
			s = &service{gate: dispatch.NewGate(dispatch.NewPool(dispatch.Options{}, rng)), budget: retry.NewWindow()}
			g.watchGroup(s, c)
			g.metrics.addServiceGauges(g, name)
		}
		s.gate.SetOptions(dispatchOptions(c, g.disabledInDispatch()))
		s.gate.SetUpstreams(g.control.upstreams.Of(name))
		s.budget.SetBound(g.retryBound(now))
		next[name] = s
	}
	g.control.services = next
}

// watchGroup sets up the watch over a service whose upstreams are ranks of a group. A gateway that starts does not know
// whether the group works: it may start because all hosts lost power.
func (g *Gateway) watchGroup(s *service, c *catalog.Service) {
	if c.Engine == nil || c.Engine.Experts == nil {
		return
	}
	s.group = &groupWatch{
		ranks:        g.ranks,
		gate:         s.gate,
		logger:       log.With(g.logger, "service", c.Name),
		ranksWatched: map[ids.UpstreamIncarnation]bool{},
		disabled:     g.disabled,
		upstreams: func() []*catalog.Upstream {
			return g.view.Load().upstreams.Of(c.Name)
		},
	}
	s.group.closeGroup(g.ctx, nil, "start")
}

const (
	// engineFill keeps what waits at the gateways: a request in an engine's own queue cannot go elsewhere.
	engineFill = 1.0
	// engineLateFill keeps slots free for requests that can still be answered in time: after an outage all that waited is
	// late, and started at once it would make late what comes after it, too.
	engineLateFill = 0.6
	// plainFill lets a plain upstream queue a little, so that it does not idle for the way of the next request.
	plainFill = 1.5
)

func dispatchOptions(c *catalog.Service, off dispatch.Off) dispatch.Options {
	if c.Engine != nil {
		return dispatch.Options{Engine: c.Engine, Fill: engineFill, LateFill: engineLateFill, Off: off}
	}
	return dispatch.Options{Fill: plainFill, LateFill: plainFill, Off: off}
}

// retryBound is this gateway's part of what all gateways may retry.
func (g *Gateway) retryBound(now time.Time) retry.Bound {
	b := g.Settings().Bounds.Retries
	nodes := 1 + g.peers.count(now)
	return retry.Bound{Length: b.Window.Std(), Ratio: b.Ratio, Extra: extraShare * float64(b.Extra) / float64(nodes+spareNodes)}
}

const (
	// extraShare leaves a rest of the fixed number for gateways that came and went within a window.
	extraShare = 0.7
	// spareNodes may come before all others have heard of them.
	spareNodes = 2
)
