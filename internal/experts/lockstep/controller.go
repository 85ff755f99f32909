package lockstep

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// pollInterval is how often a switch looks whether the ranks have prepared its map, if they do not say so in answer to
	// the order. Each look is a call to each rank.
	pollInterval = 150 * time.Millisecond
	// retryTick is the period in which a switch sends again what got no answer.
	retryTick = 5 * time.Millisecond
	// prepareSlack is added to the time that the copies take before a switch is given up.
	prepareSlack = 1500 * time.Millisecond
	// unfinishedAfter is for how long a group must be seen held that no running switch explains, so that another leader's switch
	// may end; one takes some milliseconds. Reports that are not fresh show a hold for as long as they lag.
	unfinishedAfter = 100 * time.Millisecond
)

// Group is the group that a Controller leads.
type Group struct {
	// Name is the group's, as its ranks report it.
	Name      string
	Upstreams []*catalog.Upstream
	// Engine is the ranks' model; it has experts.
	Engine *catalog.Engine
}

func (g *Group) experts() *catalog.Experts { return g.Engine.Experts }

// ControllerOptions are what a Controller is built from.
type ControllerOptions struct {
	RankClient RankClient
	Logger     log.Logger
	// Group returns the group now, or nil if there is none; Fence the leader's fencing number, 0 while this node does not
	// lead.
	Group func() *Group
	Fence func() ids.Fence
	// Standby reports whether this node may lead soon; it may be nil.
	Standby func() bool
	// Wake makes the controller look at once, as when its node begins to lead; it may be nil.
	Wake <-chan struct{}
	// Period is the time between two looks at the group, Half the half-life of the estimated demand.
	Period, Half time.Duration
	// Serials count the tasks of all controllers of this node.
	Serials *Serials
	// PeriodFactor returns by how much the period is longer, as other groups are led beside this one; it may be nil.
	PeriodFactor func() int
	// Sample is how many ranks' counts are read each time, SampleLocal the same where all can be read at no cost to the
	// group.
	Sample, SampleLocal int
	Policy              Options
	// Read is called with the reports of a whole group, by rank; it may be nil.
	Read func(upstreams []*catalog.Upstream, reports []Report)
	// Outdated is called with the number of a later leader whose maps the ranks have, or with the next one when this one's
	// versions are used up; the present number is obsolete then. It may be nil.
	Outdated func(newer ids.Fence)
	// Switched is called after each switch; it may be nil.
	Switched func(before, after float64, copies int)
}

// Controller keeps the map of one group in step with the demand while its node leads. Only Run's goroutine uses it.
type Controller struct {
	o      ControllerOptions
	demand *Demand
	epoch  uint64
	// startTimes are the starts of its ranks: all of a group may start again and form with the same epoch, with nothing of what
	// they held.
	startTimes []int64
	// formedAt is when the group was first seen in its epoch and its ranks' lives.
	formedAt time.Time
	// placement is the one in use at version; nil if it must be read.
	placement Placement
	version   uint64
	// switchedAt is the pass of the last switch.
	switchedAt      uint64
	fence           ids.Fence
	unfinishedSince time.Time
	complete        bool
	// responseTime is how long half of the ranks took to answer when all were asked last.
	responseTime atomic.Int64
}

// NewController returns a controller that has seen nothing.
func NewController(o ControllerOptions) *Controller {
	return &Controller{o: o, demand: NewDemand(o.Half)}
}

// Run leads the group until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(c.o.Period)
	defer timer.Stop()
	for {
		began := time.Now()
		wait := c.check(ctx)
		timer.Reset(max(minWait, wait-time.Since(began)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.o.Wake:
		}
	}
}

// minWait is the least wait between two looks.
const minWait = time.Millisecond

// shortInterval is the time to the next look when something is due before the period is over.
const shortInterval = 50 * time.Millisecond

// check reads the group and switches it if that earns its cost; it returns the time from its start to the next look.
func (c *Controller) check(ctx context.Context) time.Duration {
	fence := c.o.Fence()
	group := c.o.Group()
	if fence == 0 || group == nil {
		c.reset()
		return c.o.Period
	}
	if fence != c.fence {
		c.reset()
		c.fence = fence
	}
	state := c.readGroup(ctx, group)
	if state == nil {
		return min(c.period(), 2*shortInterval*time.Duration(c.period()/c.o.Period))
	}
	if c.o.Read != nil {
		c.o.Read(state.upstreams, state.reports)
	}
	if newer := c.newerFence(state); newer > 0 {
		c.reportStaleFence(newer)
		return c.period()
	}
	if c.undoUnfinished(ctx, state) {
		return shortInterval
	}
	if !c.loadPlacement(ctx, state) {
		return 2 * shortInterval
	}
	c.readCounts(ctx, state)
	if c.demand.Value() == nil || c.countsDue(time.Now()) {
		return 2 * shortInterval
	}
	if c.improve(ctx, state) {
		return 2 * shortInterval
	}
	return c.period()
}

// recentlyFormed is how long a group counts as one that has just formed: it has counted enough within some passes.
const recentlyFormed = 2 * time.Second

// countsDue reports whether a group that has just formed should be looked at again soon, as it has counted too little yet.
//
// A group that has just formed runs on its first map, with several times the mean's load at one rank, while the requests of
// the outage are read. The next look is therefore soon.
func (c *Controller) countsDue(now time.Time) bool {
	return c.demand.Total() < c.o.Policy.MinCounts && now.Sub(c.formedAt) < recentlyFormed
}

func (c *Controller) period() time.Duration {
	if c.o.PeriodFactor == nil {
		return c.o.Period
	}
	return c.o.Period * time.Duration(c.o.PeriodFactor())
}

func (c *Controller) reset() {
	c.resetPlacement()
	c.unfinishedSince = time.Time{}
}

func (c *Controller) resetPlacement() { c.placement = nil }

// snapshot is the group as its ranks reported it, by rank.
type snapshot struct {
	group     *Group
	upstreams []*catalog.Upstream
	reports   []Report
	epoch     uint64
	pass      uint64
}

// startTimes are the starts of the ranks, by rank.
func (s *snapshot) startTimes() []int64 {
	out := make([]int64, len(s.reports))
	for rank, r := range s.reports {
		out[rank] = r.StartedAtMS
	}
	return out
}

// readGroup reads all ranks; nil unless the group is whole and works.
func (c *Controller) readGroup(ctx context.Context, g *Group) *snapshot {
	reports := c.reports(ctx, g.Upstreams)
	s := &snapshot{group: g}
	for i, r := range reports {
		if r == nil || !r.Open || r.Group != g.Name || r.Rank < 0 || r.Rank >= r.Size {
			continue
		}
		if s.reports == nil {
			s.reports = make([]Report, r.Size)
			s.upstreams = make([]*catalog.Upstream, r.Size)
			s.epoch = r.Epoch
		}
		if r.Size == len(s.reports) && r.Epoch == s.epoch {
			s.reports[r.Rank] = *r
			s.upstreams[r.Rank] = g.Upstreams[i]
			s.pass = max(s.pass, r.Pass)
		}
	}
	whole := s.reports != nil
	for _, u := range s.upstreams {
		whole = whole && u != nil
	}
	if whole != c.complete {
		c.complete = whole
		_ = level.Info(c.o.Logger).Log("msg", "group", "whole", whole, "epoch", s.epoch, "ranks", len(s.upstreams), "pass", s.pass)
	}
	if !whole {
		return nil
	}
	if lives := s.startTimes(); s.epoch != c.epoch || !slices.Equal(lives, c.startTimes) {
		// What is in demand does not change because the group formed anew, and its first map knows nothing of it.
		c.epoch, c.startTimes, c.formedAt = s.epoch, lives, time.Now()
		c.reset()
	}
	return s
}

// reports reads all ranks at once; a rank that does not answer has none.
func (c *Controller) reports(ctx context.Context, list []*catalog.Upstream) []*Report {
	out := make([]*Report, len(list))
	took := make([]time.Duration, len(list))
	began := time.Now()
	var wait sync.WaitGroup
	for i, u := range list {
		wait.Go(func() {
			defer func() { took[i] = time.Since(began) }()
			if r, err := c.o.RankClient.Report(ctx, u); err == nil {
				out[i] = &r
			} else {
				_ = level.Debug(c.o.Logger).Log("msg", "no report", "upstream", u.ID, "err", err)
			}
		})
	}
	wait.Wait()
	slices.Sort(took)
	if len(took) > 0 {
		c.responseTime.Store(int64(took[(len(took)-1)/2]))
	}
	return out
}

// improve switches to a better placement if there is one. It reports whether the group should be looked at soon: an order
// to hold it was sent more than once, and one that comes late would hold it again.
func (c *Controller) improve(ctx context.Context, s *snapshot) bool {
	speed := make([]float64, len(s.reports))
	running := 0
	for r, report := range s.reports {
		speed[r] = 1 / max(1, report.Pace)
		running += report.Running
	}
	part := expertShare(s.group.Engine, float64(running)/float64(len(s.reports)))
	plan, before := Decide(c.o.Policy, c.placement, c.demand, speed, s.group.experts(), part)
	if plan == nil {
		_ = level.Debug(c.o.Logger).Log("msg", "map kept", "version", c.version, "skew", before)
		return false
	}
	now := time.Now()
	task := c.newTask(s)
	task.Placement = plan.Placement
	task.CopyTime = plan.CopyTime(s.group.experts().CopyTime)
	task.PrepareBy = now.Add(task.CopyTime + prepareSlack)
	sw := NewSwitch(task)
	sw.latestPass = s.pass + c.lagPasses(s)
	c.runSwitch(ctx, s, sw, sw.Start(now))
	_ = level.Info(c.o.Logger).Log("msg", "map switch", "version", task.Version, "epoch", task.Epoch, "end", sw.State(),
		"switched", sw.Switched(), "pass", sw.Pass(), "before", plan.Before, "after", plan.After, "copies", plan.Copies,
		"most_copies", plan.MaxCopies, "expert_part", part, "took", time.Since(now))
	if !sw.Switched() {
		c.reset()
		return false
	}
	c.placement, c.version, c.switchedAt = plan.Placement, task.Version, sw.Pass()
	if c.o.Switched != nil {
		c.o.Switched(plan.Before, plan.After, plan.Copies)
	}
	return sw.HoldResent()
}
