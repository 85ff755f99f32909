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
	"github.com/cardamomyoke/cardamomyoke/internal/base/logging"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// pollInterval is the interval at which a switch checks whether the ranks have prepared its map, in case they do
	// not report it in the reply to the order. Each check is a call to each rank.
	pollInterval = 150 * time.Millisecond
	// loadPollInterval is that interval while ranks load a map whose experts they have.
	loadPollInterval = 50 * time.Millisecond
	// retryTick is the interval at which a switch checks for orders to send again.
	retryTick = 5 * time.Millisecond
	// prepareSlack is added to the time that copies take to get the deadline at which a switch is aborted.
	prepareSlack = 1500 * time.Millisecond
	// unfinishedAfter is how long a group must be held without a switch of this leader before it is released. It lets
	// a switch of another leader finish, which takes some milliseconds. Reports that are not fresh show a hold for as
	// long as they lag.
	unfinishedAfter = 100 * time.Millisecond
)

// Group is a group to control.
type Group struct {
	// Name is the name of the group in its ranks' reports.
	Name      string
	Upstreams []*catalog.Upstream
	// Engine is the performance model of the ranks' engine; its Experts must be set.
	Engine *catalog.Engine
}

func (g *Group) experts() *catalog.Experts { return g.Engine.Experts }

// ControllerOptions configures a Controller.
type ControllerOptions struct {
	RankClient RankClient
	Logger     log.Logger
	// Group returns the current group, or nil if there is none. Fence returns the leader's fencing token, or 0 while
	// this node is not the leader.
	Group func() *Group
	Fence func() ids.Fence
	// Standby reports whether this node may become the leader soon; it may be nil.
	Standby func() bool
	// Wake triggers a check immediately, for example when this node becomes the leader; it may be nil.
	Wake <-chan struct{}
	// Period is the interval between two checks of the group, HalfLife the half-life of the estimated demand.
	Period, HalfLife time.Duration
	// Serials counts the tasks of all controllers of this node.
	Serials *Serials
	// PeriodFactor returns the factor by which the period is longer because this node is the leader of other groups
	// too; it may be nil.
	PeriodFactor func() int
	// Sample is the number of ranks whose counts are read in each check. Local ranks, which can be read at no cost to
	// the group, are read first, and SampleLocal limits them instead of Sample.
	Sample, SampleLocal int
	Policy              Options
	// OnReports is called with the reports of a complete group, by rank; it may be nil.
	OnReports func(upstreams []*catalog.Upstream, reports []Report)
	// OnStaleFence is called when the current fencing token is obsolete: with the token of a later leader whose maps
	// the ranks have, or with the next token when the versions of the current one are used up. It may be nil.
	OnStaleFence func(newer ids.Fence)
	// OnSwitched is called after each switch with the skews before and after it and the number of copies; it may be
	// nil.
	OnSwitched func(before, after float64, copies int)
	// OnPostponed is called when a switch begins to wait for the group to begin passes; it may be nil.
	OnPostponed func()
	// HoldLead returns how many passes ahead a switch holds the group, 0 for the default; it may be nil.
	HoldLead func() uint64
	// OnHold is called by a switch each HoldNoticeInterval while it holds a group, first before the order to hold is
	// sent, and when it no longer does. The token is that of the switch, which the node may have given up meanwhile.
	// It must not block; it may be nil.
	OnHold func(group string, state HoldState, fence ids.Fence)
	// TookOver reports whether this node leads under the token because the leader before it went silent while it held
	// a group; it may be nil.
	TookOver func(ids.Fence) bool
}

// Controller adapts the map of one group to the demand while its node is the leader. Only Run's goroutine may use it.
type Controller struct {
	o      ControllerOptions
	demand *Demand
	epoch  uint64
	// startTimes are the start times of the ranks. All ranks of a group may restart and form it with the same epoch,
	// without any of the maps that they held.
	startTimes []int64
	// formedAt is when the group was first seen with this epoch and these start times.
	formedAt time.Time
	// placement is the placement in use at version; nil if it must be read.
	placement Placement
	version   uint64
	// switchPass is the pass of the last switch.
	switchPass uint64
	// passes chooses the passes of this leader's switches in this epoch, loadedAt is when it last had ranks load its first
	// map; loadFailed is set if they did not, and postponed while a switch waits for the group to begin passes.
	passes                HeldPasses
	loadedAt              time.Time
	loadFailed, postponed bool
	fence                 ids.Fence
	unfinishedSince       time.Time
	// holdNoticedAt is when OnHold was last called for the current hold; zero if none is outstanding.
	holdNoticedAt time.Time
	wasComplete   bool
	// responseTime is the median response time of the ranks, in ns, when all were last read concurrently.
	responseTime atomic.Int64
	orderLog     *logging.RateLimited
}

// NewController returns a controller for the group that the options return.
func NewController(o ControllerOptions) *Controller {
	return &Controller{o: o, demand: NewDemand(o.HalfLife), orderLog: logging.NewRateLimited(level.Info(o.Logger), maxOrderLines, time.Now)}
}

// Run controls the group until ctx is done.
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

// minWait is the minimum wait between two checks.
const minWait = time.Millisecond

// shortInterval is the interval to the next check when something is due before the period ends.
const shortInterval = 50 * time.Millisecond

// check reads the group and switches it if the gain is worth the cost. It returns the time from its start to the next
// check.
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
		c.forgetPasses()
	}
	snap := c.readGroup(ctx, group)
	if snap == nil {
		return min(c.period(), 2*shortInterval*time.Duration(c.period()/c.o.Period))
	}
	if c.o.OnReports != nil {
		c.o.OnReports(snap.upstreams, snap.reports)
	}
	if newer := c.newerFence(snap); newer > 0 {
		c.reportStaleFence(newer)
		return c.period()
	}
	if c.undoUnfinished(ctx, snap) {
		return shortInterval
	}
	if !c.loadPlacement(ctx, snap) {
		return 2 * shortInterval
	}
	if !c.passes.Loaded() && !snap.anyArmed() {
		c.loadMap(ctx, snap)
	}
	c.readCounts(ctx, snap)
	if c.demand.Value() == nil || c.countsDue(time.Now()) {
		return 2 * shortInterval
	}
	if c.improve(ctx, snap) {
		return 2 * shortInterval
	}
	return c.period()
}

// recentlyFormed is how long a group counts as newly formed. In that time its ranks normally collect
// Options.MinCounts counts.
const recentlyFormed = 2 * time.Second

// countsDue reports whether a newly formed group should be checked again soon because it has too few counts.
//
// A newly formed group runs on its first map, with several times the mean load on one rank, while it processes the
// requests that waited during the outage. The next check is therefore soon.
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

// anyArmed reports whether a rank is armed. It refuses other maps until its pass has begun.
func (s *snapshot) anyArmed() bool {
	return slices.ContainsFunc(s.reports, func(r Report) bool { return r.Armed != nil })
}

// startTimes returns the start times of the ranks, by rank.
func (s *snapshot) startTimes() []int64 {
	out := make([]int64, len(s.reports))
	for rank, r := range s.reports {
		out[rank] = r.StartedAtMS
	}
	return out
}

// readGroup reads the reports of all ranks. It returns nil unless the group is complete and operational.
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
	complete := s.reports != nil
	for _, u := range s.upstreams {
		complete = complete && u != nil
	}
	if complete != c.wasComplete {
		c.wasComplete = complete
		_ = level.Info(c.o.Logger).Log("msg", "group completeness changed", "whole", complete, "epoch", s.epoch, "ranks", len(s.upstreams), "pass", s.pass)
	}
	if !complete {
		return nil
	}
	if started := s.startTimes(); s.epoch != c.epoch || !slices.Equal(started, c.startTimes) {
		// The estimated demand is retained: it does not change when the group forms again, and the first map is not
		// based on it.
		c.epoch, c.startTimes, c.formedAt = s.epoch, started, time.Now()
		c.forgetPasses()
		c.reset()
	}
	return s
}

// reports reads the reports of all ranks concurrently; the report of a rank that does not respond is nil.
func (c *Controller) reports(ctx context.Context, list []*catalog.Upstream) []*Report {
	out := make([]*Report, len(list))
	elapsed := make([]time.Duration, len(list))
	began := time.Now()
	var wait sync.WaitGroup
	for i, u := range list {
		wait.Go(func() {
			defer func() { elapsed[i] = time.Since(began) }()
			if r, err := c.o.RankClient.Report(ctx, u); err == nil {
				out[i] = &r
			} else {
				_ = level.Debug(c.o.Logger).Log("msg", "no report", "upstream", u.ID, "err", err)
			}
		})
	}
	wait.Wait()
	slices.Sort(elapsed)
	if len(elapsed) > 0 {
		c.responseTime.Store(int64(elapsed[(len(elapsed)-1)/2]))
	}
	return out
}

// forgetPasses forgets the passes of the leader before, or of the epoch before, and what was logged of them.
func (c *Controller) forgetPasses() {
	c.passes, c.loadFailed, c.postponed = HeldPasses{}, false, false
}

// loadMap has all ranks load the map in use under a version of this leader, so that its passes are known to be beyond
// those of earlier leaders by the time of its first switch. See HeldPasses.
func (c *Controller) loadMap(ctx context.Context, s *snapshot) {
	now := time.Now()
	task := c.newTask(s)
	task.Placement, task.LoadOnly, task.PrepareBy = c.placement, true, now.Add(prepareSlack)
	sw := NewSwitch(task)
	c.runSwitch(ctx, s, sw, sw.Start(now))
	failed := !c.passes.Loaded()
	if !failed || !c.loadFailed { // a failure is logged once, not at each check
		_ = level.Info(c.o.Logger).Log("msg", "map loaded", "reason", "the leader's first one in the epoch", "version", task.Version, "epoch", task.Epoch,
			"loaded", !failed, "end", sw.State(), "begun", sw.begunPass, "took", time.Since(now))
	}
	c.loadFailed = failed
	c.loadedAt = now
}

// postpone records that a switch waits for the group to begin passes, once for each wait.
func (c *Controller) postpone(s *snapshot) {
	if c.postponed {
		return
	}
	c.postponed = true
	_ = level.Info(c.o.Logger).Log("msg", "map switch postponed", "reason", "no pass may be held yet", "version", c.version, "epoch", s.epoch,
		"begun", s.pass, "first", c.passes.first(), "loaded", c.passes.Loaded())
	if c.o.OnPostponed != nil {
		c.o.OnPostponed()
	}
}

// improve switches to a better placement if there is one. It reports whether the group should be checked again soon:
// because an order to hold it was sent more than once and a late copy could hold it again, or because the leader's first
// switch must wait for a few passes.
func (c *Controller) improve(ctx context.Context, s *snapshot) bool {
	speed := make([]float64, len(s.reports))
	running := 0
	for r, report := range s.reports {
		speed[r] = 1 / max(1, report.Slowdown)
		running += report.Running
	}
	share := expertShare(s.group.Engine, float64(running)/float64(len(s.reports)))
	plan, before := Decide(c.o.Policy, c.placement, c.demand, speed, s.group.experts(), share)
	if plan == nil {
		_ = level.Debug(c.o.Logger).Log("msg", "map kept", "version", c.version, "skew", before)
		return false
	}
	now := time.Now()
	if !c.passes.Available(s.pass) {
		c.postpone(s)
		return c.passes.Loaded() && now.Sub(c.loadedAt) < recentlyFormed
	}
	c.postponed = false
	task := c.newTask(s)
	task.Placement = plan.Placement
	task.CopyTime = plan.CopyTime(s.group.experts().CopyTime)
	task.PrepareBy = now.Add(task.CopyTime + prepareSlack)
	sw := NewSwitch(task)
	c.runSwitch(ctx, s, sw, sw.Start(now))
	_ = level.Info(c.o.Logger).Log("msg", "map switch", "version", task.Version, "epoch", task.Epoch, "end", sw.State(),
		"switched", sw.Switched(), "pass", sw.Pass(), "begun", sw.begunPass, "before", plan.Before, "after", plan.After, "copies", plan.Copies,
		"most_copies", plan.MaxCopies, "expert_part", share, "took", time.Since(now))
	if !sw.Switched() {
		c.reset()
		return false
	}
	c.placement, c.version, c.switchPass = plan.Placement, task.Version, sw.Pass()
	if c.o.OnSwitched != nil {
		c.o.OnSwitched(plan.Before, plan.After, plan.Copies)
	}
	return sw.HoldResent()
}
