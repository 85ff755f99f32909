package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/completeness"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// updateServices creates, updates and removes services according to the configuration and the registry.
func (g *Gateway) updateServices() {
	if g.control.config == nil {
		return
	}
	next := make(map[ids.Service]*service, len(g.control.config.Services))
	for name, c := range g.control.config.Services {
		s := g.control.services[name]
		if s == nil {
			rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
			s = &service{
				gate: dispatch.NewGate(dispatch.NewPool(dispatch.Options{}, rng)), budget: retry.NewSharedBudget(),
				habit: &completeness.Habit{}, longBodies: &completeness.Habit{}, heldHeaders: &completeness.Habit{}, gaps: &completeness.Habit{},
			}
			s.grants = newRetryGrants(g, name, s.budget)
			g.watchGroup(s, c)
			g.metrics.addServiceGauges(g, name)
		}
		o := dispatchOptions(g.control.config, c, g.disabledInDispatch())
		g.Settings().Overload.apply(&o)
		o.Near = near(g.control.config, c, g.Settings())
		s.gate.SetOptions(o)
		s.evacuable.Store(g.evacuates())
		s.gate.SetEvacuated(g.control.evacuated)
		s.gate.SetUpstreams(g.control.upstreams.Of(name))
		g.setStop(s, time.Now())
		s.budget.SetBound(g.sharedRetryBound())
		next[name] = s
	}
	g.control.services = next
}

// watchGroup creates the groupWatch of a service whose upstreams are ranks of a group. The group starts closed: a
// gateway that starts has no evidence that the group works, as all hosts may just have lost power.
func (g *Gateway) watchGroup(s *service, c *catalog.Service) {
	if !hasGroups(c) {
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
	// engineFill is the maximum number of requests in flight per slot of an engine. It keeps waiting requests at the
	// gateways: a request in an engine's own queue cannot move to another upstream.
	engineFill = 1.0
	// engineLateFill replaces engineFill for late requests and so reserves slots for requests that can still be
	// answered in time. After an outage all waiting requests are late; if all of them started together, they would
	// delay the following requests as well.
	engineLateFill = 0.6
	// plainFill is the same for plain upstreams. It lets an upstream queue a little, so that it does not idle until the
	// next request arrives.
	plainFill = 1.5
)

func dispatchOptions(config *catalog.Configuration, c *catalog.Service, off dispatch.DisabledMechanisms) dispatch.Options {
	o := dispatch.Options{Fill: plainFill, LateFill: plainFill, Disabled: off}
	if c.Engine != nil {
		o = dispatch.Options{Engine: c.Engine, Fill: engineFill, LateFill: engineLateFill, Disabled: off}
	}
	o.Classes = config.Priorities(c.Name)
	return o
}
