package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	// expertsDuty is the duty to place the experts of all groups.
	expertsDuty lease.Duty = "experts"
	// leaseLength is the validity of the lease, which is renewed three times within it. A leader that peers no longer
	// see is replaced much sooner. The length bounds how long a leader continues if its peers still see it, but it
	// cannot reach the store and a peer can.
	leaseLength = 3 * time.Second
	// pollInterval is the interval at which the leader polls a group, a few passes. demandHalfLife is the half-life of
	// the estimated demand.
	//
	// After a shift of demand, and until the map follows it, passes take longer than callers accept, and each stream is
	// late by one pass. With a shorter interval, additional copies would take as much time as shorter passes save.
	pollInterval   = 250 * time.Millisecond
	demandHalfLife = 300 * time.Millisecond
	// sampledRanks is how many ranks are polled for their counts each time; polling remotely makes the group pause.
	sampledRanks = 4
	// sampledLocal replaces sampledRanks where each rank has an agent on its host. The group does not pause then, but
	// each poll transfers some KB over the leader's link.
	sampledLocal = 24
)

// experts places the experts of all model groups while this gateway is the leader: it decides which ranks hold which
// experts, and switches the groups to new expert maps.
type experts struct {
	g      *Gateway
	ctx    context.Context
	ranks  lockstep.RankClient
	leases *manager.Manager
	table  platform.Table
	// fence is the token under which this gateway leads, read by the controllers; 0 while it does not lead.
	fence atomic.Uint64
	// standby is set while this gateway is among the first candidates to lead.
	standby atomic.Bool
	// slow maps "SERVICE/GROUP" to the slow ranks of the group's last report.
	slow sync.Map // string to []*cardamomyokev1.UpstreamPace
	// The fields below belong to the control loop. allocating is set while a token is being allocated; the next spare
	// token may be allocated from allocateAt on.
	election    leadership
	allocating  bool
	allocateAt  time.Time
	controllers map[ids.Service]*lockstep.Running
	// holds tells the standbys of held groups; watch follows those of another leader.
	holds *holdNotices
	watch holdWatch
}

func newExperts(ctx context.Context, g *Gateway, client lockstep.RankClient, table platform.Table) *experts {
	return &experts{
		g: g, ctx: ctx, ranks: client, table: table, controllers: map[ids.Service]*lockstep.Running{}, holds: newHoldNotices(g),
		leases: manager.New(manager.Config{
			Name: g.Settings().Name, Incarnation: g.incarnation, Length: leaseLength, Table: table, Loop: g.loop,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Logger: g.logger, HolderDead: g.peers.holderDead,
		}),
	}
}

// tick updates the lease, the leadership and the controllers. It runs on the control loop.
func (e *experts) tick(now time.Time) {
	e.updateControllers()
	c := e.candidates(now)
	in := e.electionInput(now, c)
	e.leases.SetWanted(now, expertsDuty, e.wantsLease(now, in))
	e.leases.Tick(now)
	fence, allocate := e.election.decide(now, in)
	standby := e.isStandby(now, c)
	e.standby.Store(standby)
	if allocate || standby && e.needsSpare() && e.allocateDue(now) {
		e.allocateFence()
	}
	if e.fence.Swap(uint64(fence)) == uint64(fence) {
		return
	}
	_ = level.Info(e.g.logger).Log("msg", "leadership changed", "duty", expertsDuty, "number", fence, "lease_held", in.HeldFence != 0,
		"lease_seen", in.SeenFence, "newest_heard", e.election.newestPeerFence, "place", in.Position)
	for _, c := range e.controllers {
		c.Wake()
	}
}

func (e *experts) anyGroup() bool { return len(e.controllers) > 0 }

// updateControllers runs a controller for each service whose upstreams are ranks of a group, and stops those of other
// services.
func (e *experts) updateControllers() {
	if e.g.control.config == nil {
		return
	}
	services := e.g.control.config.Services
	for name, c := range e.controllers {
		if !hasGroups(services[name]) {
			c.Stop()
			delete(e.controllers, name)
		}
	}
	for name, s := range services {
		if hasGroups(s) && e.controllers[name] == nil {
			e.controllers[name] = e.startController(name)
		}
	}
}

// hasGroups reports whether the upstreams of a service are ranks of groups; the service is nil if it is not configured.
func hasGroups(s *catalog.Service) bool {
	return s != nil && s.Engine != nil && s.Engine.Experts != nil
}

func (e *experts) startController(name ids.Service) *lockstep.Running {
	o := lockstep.ControllerOptions{
		RankClient: e.ranks,
		Logger:     log.With(e.g.logger, "service", name),
		Group:      func() *lockstep.Group { return e.group(name) },
		Fence:      func() ids.Fence { return ids.Fence(e.fence.Load()) },
		Standby:    e.standby.Load,
		Period:     pollInterval,
		HalfLife:   demandHalfLife,
		Sample:     sampledRanks, SampleLocal: sampledLocal,
		Policy: lockstep.DefaultOptions(),
		OnReports: func(upstreams []*catalog.Upstream, reports []lockstep.Report) {
			e.recordSlowRanks(string(name)+"/"+reports[0].Group, upstreams, reports)
		},
		OnStaleFence: func(newer ids.Fence) { e.g.loop.Post(func(time.Time) { e.election.observeNewer(newer) }) },
		OnPostponed:  func() { e.g.metrics.mapSwitchPostponed(name) },
		OnSwitched: func(before, after float64, copies int) {
			e.g.metrics.mapSwitched(name, before, after, copies)
		},
		HoldLead: e.g.holdLead,
		OnHold: func(group string, state lockstep.HoldState, fence ids.Fence) {
			e.holds.record(string(name)+"/"+group, state, fence)
		},
		TookOver: func(f ids.Fence) bool { return ids.Fence(e.watch.tookOver.Load()) == f },
	}
	return lockstep.Start(e.ctx, func(ctx context.Context, wake <-chan struct{}) {
		o.Wake = wake
		lockstep.NewServiceController(o).Run(ctx)
	})
}

// minSlowdown is the slowdown factor from which a rank counts as slow. A rank's reports vary by some hundredths.
const minSlowdown = 1.25

// recordSlowRanks stores a group's slow ranks for the digests, and logs each rank that became slow or returned to
// normal.
func (e *experts) recordSlowRanks(group string, upstreams []*catalog.Upstream, reports []lockstep.Report) {
	slow := slowRanks(upstreams, reports)
	before, _ := e.slow.Swap(group, slow)
	was, _ := before.([]*cardamomyokev1.UpstreamPace)
	for rank, u := range upstreams {
		current, previous := slowdownOf(slow, u), slowdownOf(was, u)
		if (current > 0) != (previous > 0) {
			_ = level.Info(e.g.logger).Log("msg", "rank slowdown changed", "group", group, "rank", rank, "upstream", u.ID, "slow", current > 0,
				"pace", reports[rank].Slowdown, "fresh", reports[rank].Fresh, "running", reports[rank].Running)
		}
	}
}

// slowdownOf returns an upstream's slowdown factor, or 0 if the upstream is not in the list of slow ranks.
func slowdownOf(slow []*cardamomyokev1.UpstreamPace, u *catalog.Upstream) float64 {
	for _, s := range slow {
		if s.GetUpstream() == hashOf(u.Incarnation()) {
			return s.GetPace()
		}
	}
	return 0
}

func slowRanks(upstreams []*catalog.Upstream, reports []lockstep.Report) []*cardamomyokev1.UpstreamPace {
	var slow []*cardamomyokev1.UpstreamPace
	for rank, u := range upstreams {
		if slowdown := reports[rank].Slowdown; slowdown >= minSlowdown {
			slow = append(slow, &cardamomyokev1.UpstreamPace{Upstream: hashOf(u.Incarnation()), Pace: slowdown})
		}
	}
	return slow
}

// allSlowRanks returns the slow ranks of all services, or nil while this gateway does not lead.
func (e *experts) allSlowRanks() []*cardamomyokev1.UpstreamPace {
	if e.fence.Load() == 0 {
		return nil
	}
	var all []*cardamomyokev1.UpstreamPace
	e.slow.Range(func(_, value any) bool {
		all = append(all, value.([]*cardamomyokev1.UpstreamPace)...)
		return true
	})
	return all
}

func (e *experts) group(name ids.Service) *lockstep.Group {
	v := e.g.view.Load()
	if v.config == nil || e.g.disabled(mechanismMaps) {
		return nil
	}
	s := v.config.Services[name]
	if s == nil || s.Engine == nil || s.Engine.Experts == nil {
		return nil
	}
	return &lockstep.Group{Upstreams: v.upstreams.Of(name), Engine: s.Engine}
}
