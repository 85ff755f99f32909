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
	// expertsDuty is to place the experts of all groups.
	expertsDuty lease.Duty = "experts"
	// leaseLength is renewed three times. A gateway that is not heard is replaced much sooner; this bounds how long one
	// goes on that is heard but cannot reach the store, and another can.
	leaseLength = 3 * time.Second
	// pollInterval is the period in which the leader looks at a group, a few passes; demandHalf is the half-life of the estimated
	// demand.
	//
	// Until the map follows a shift of demand, passes take longer than callers accept, and each stream is late by one of them.
	// Looking more often costs in copies what it gains in passes.
	pollInterval = 250 * time.Millisecond
	demandHalf   = 300 * time.Millisecond
	// sampledRanks is how many ranks' counts are read each time; reading from afar makes the group pause.
	sampledRanks = 4
	// sampledLocal is the same where each rank has an agent beside it. The group does not pause for it, but each reading has
	// some KB of the leader's link.
	sampledLocal = 24
)

// experts places the experts of groups while this gateway holds the duty.
type experts struct {
	g      *Gateway
	ctx    context.Context
	ranks  lockstep.RankClient
	leases *manager.Manager
	table  platform.Table
	// number is what this gateway leads under, for the controllers; 0 while it does not lead.
	number atomic.Uint64
	// next says that this gateway is one of those that lead next.
	next atomic.Bool
	// slow are the ranks that are slower than usual, by service and group, as the controllers read them last.
	slow sync.Map // string → []*cardamomyokev1.UpstreamPace
	// The rest belongs to the control loop. allocating says that a number is being drawn, allocateAt from when on the next may be.
	leading    leadership
	allocating bool
	allocateAt time.Time
	running    map[ids.Service]*lockstep.Running
}

func newExperts(ctx context.Context, g *Gateway, client lockstep.RankClient, table platform.Table) *experts {
	return &experts{
		g: g, ctx: ctx, ranks: client, table: table, running: map[ids.Service]*lockstep.Running{},
		leases: manager.New(manager.Config{
			Name: g.Settings().Name, Incarnation: g.incarnation, Length: leaseLength, Table: table, Loop: g.loop,
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Logger: g.logger, HolderDead: g.peers.ended,
		}),
	}
}

// tick runs on the control loop.
func (e *experts) tick(now time.Time) {
	e.follow()
	c := e.candidates(now)
	known := e.rivals(now, c)
	e.leases.SetWanted(now, expertsDuty, e.wanted(now, known))
	e.leases.Tick(now)
	number, draw := e.leading.decide(now, known)
	next := e.mayLead(now, c)
	e.next.Store(next)
	if draw || next && e.wantsSpare() && e.allocateDue(now) {
		e.allocateFence()
	}
	if e.number.Swap(uint64(number)) == uint64(number) {
		return
	}
	_ = level.Info(e.g.logger).Log("msg", "leading", "duty", expertsDuty, "number", number, "lease_held", known.Held != 0,
		"lease_seen", known.Seen, "newest_heard", e.leading.newest, "place", known.Place)
	for _, c := range e.running {
		c.Wake()
	}
}

func (e *experts) anyGroup() bool { return len(e.running) > 0 }

// follow runs a controller for each service whose upstreams are ranks of a group.
func (e *experts) follow() {
	if e.g.control.config == nil {
		return
	}
	for name, s := range e.g.control.config.Services {
		grouped := s.Engine != nil && s.Engine.Experts != nil
		c := e.running[name]
		switch {
		case grouped && c == nil:
			e.running[name] = e.startController(name)
		case !grouped && c != nil:
			c.Stop()
			delete(e.running, name)
		}
	}
}

func (e *experts) startController(name ids.Service) *lockstep.Running {
	o := lockstep.ControllerOptions{
		RankClient: e.ranks,
		Logger:     log.With(e.g.logger, "service", name),
		Group:      func() *lockstep.Group { return e.group(name) },
		Fence:      func() ids.Fence { return ids.Fence(e.number.Load()) },
		Standby:    e.next.Load,
		Period:     pollInterval,
		Half:       demandHalf,
		Sample:     sampledRanks, SampleLocal: sampledLocal,
		Policy: lockstep.DefaultOptions(),
		Read: func(upstreams []*catalog.Upstream, reports []lockstep.Report) {
			e.notePaces(string(name)+"/"+reports[0].Group, upstreams, reports)
		},
		Outdated: func(newer ids.Fence) { e.g.loop.Post(func(time.Time) { e.leading.outdated(newer) }) },
		Switched: func(before, after float64, copies int) {
			e.g.metrics.switched(name, before, after, copies)
		},
	}
	return lockstep.Start(e.ctx, func(ctx context.Context, wake <-chan struct{}) {
		o.Wake = wake
		lockstep.NewServiceController(o).Run(ctx)
	})
}

// slowPace is from when on a rank counts as slow. A rank's reports vary by some hundredths.
const slowPace = 1.25

// notePaces keeps a group's slow ranks for the digests, and logs those that have become slow or are as usual again.
func (e *experts) notePaces(group string, upstreams []*catalog.Upstream, reports []lockstep.Report) {
	slow := slowRanks(upstreams, reports)
	before, _ := e.slow.Swap(group, slow)
	was, _ := before.([]*cardamomyokev1.UpstreamPace)
	for rank, u := range upstreams {
		now, then := paceOf(slow, u), paceOf(was, u)
		if (now > 0) != (then > 0) {
			_ = level.Info(e.g.logger).Log("msg", "rank pace", "group", group, "rank", rank, "upstream", u.ID, "slow", now > 0,
				"pace", reports[rank].Pace, "fresh", reports[rank].Fresh, "running", reports[rank].Running)
		}
	}
}

// paceOf returns an upstream's pace among slow ones; 0 if it is none of them.
func paceOf(slow []*cardamomyokev1.UpstreamPace, u *catalog.Upstream) float64 {
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
		if pace := reports[rank].Pace; pace >= slowPace {
			slow = append(slow, &cardamomyokev1.UpstreamPace{Upstream: hashOf(u.Incarnation()), Pace: pace})
		}
	}
	return slow
}

// slowKnown returns the slow ranks of all services while this gateway leads.
func (e *experts) slowKnown() []*cardamomyokev1.UpstreamPace {
	if e.number.Load() == 0 {
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
	if v.config == nil || e.g.off(offMaps) {
		return nil
	}
	s := v.config.Services[name]
	if s == nil || s.Engine == nil || s.Engine.Experts == nil {
		return nil
	}
	return &lockstep.Group{Upstreams: v.upstreams.Of(name), Engine: s.Engine}
}
