package lockstep

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// lagPasses is how many passes a report is behind, from the reports' age and a usual pass.
func (c *Controller) lagPasses(s *snapshot) uint64 {
	if s.reports[0].Fresh {
		return 0
	}
	return uint64(s.group.Engine.ReportLag / normalPass)
}

// normalPass is the length of a pass of a loaded group; a shorter one costs another try at holding the group.
const normalPass = 50 * time.Millisecond

// newTask is a new task for the present leader. Its version is unique: leaders' numbers are, and versions of one leader
// count up from its own.
func (c *Controller) newTask(s *snapshot) Task {
	serial := c.o.Serials.next(c.fence)
	return Task{
		Epoch:      s.epoch,
		Ranks:      len(s.upstreams),
		StartTimes: s.startTimes(),
		Version:    versionOf(c.fence, serial),
		Current:    c.placement,
		HoldRank:   int(serial/versionsPerTask) % len(s.upstreams),

		ResponseTime: time.Duration(c.responseTime.Load()),

		Fallback: versionOf(c.fence, serial+1),
	}
}

type orderResult struct {
	order Order
	reply Reply
}

// runSwitch runs a switch to its end, or until ctx ends.
func (c *Controller) runSwitch(ctx context.Context, s *snapshot, sw *Switch, orders []Order) {
	replies := make(chan orderResult)
	ended := make(chan struct{})
	defer close(ended)
	tick := time.NewTicker(retryTick)
	defer tick.Stop()
	poll := newReportPoller(c, s)
	prepared := map[int]bool{}
	for !sw.Finished() {
		c.sendOrders(ctx, s, orders, replies, ended)
		orders = nil
		select {
		case <-ctx.Done():
			return
		case a := <-replies:
			orders = sw.OnReply(time.Now(), a.order, a.reply)
			if a.reply != ReplyPrepared || a.order.Op != OpPrepare || prepared[a.order.Rank] {
				continue
			}
			prepared[a.order.Rank] = true
			if len(prepared) == len(s.upstreams) && !sw.Finished() {
				poll.start(ctx)
			}
		case reports := <-poll.done:
			poll.finish(ctx)
			orders = sw.OnReports(time.Now(), reports)
		case now := <-tick.C:
			orders = sw.Tick(now)
			if !sw.Finished() {
				poll.tick(ctx, now)
			}
		}
	}
}

// reportPoller asks all ranks for their reports, one round at a time, beside the loop that gives orders.
//
// The rounds of orders do not wait for reports: while one rank loses orders and another reports late, the group would be held
// for as long as both last.
type reportPoller struct {
	controller *Controller
	snapshot   *snapshot
	// done gets the reports of a round; it takes one without a reader, so that no round outlives its switch for long.
	done      chan []*Report
	startedAt time.Time
	busy      bool
	// again says that a round is due as soon as the present one is over.
	again bool
}

func newReportPoller(c *Controller, s *snapshot) *reportPoller {
	return &reportPoller{controller: c, snapshot: s, done: make(chan []*Report, 1), startedAt: time.Now()}
}

// tick begins a round when it is due.
func (p *reportPoller) tick(ctx context.Context, now time.Time) {
	if !p.busy && now.Sub(p.startedAt) >= pollInterval {
		p.start(ctx)
	}
}

// start begins a round at once, or after the present one, which may have asked too early.
func (p *reportPoller) start(ctx context.Context) {
	if p.busy {
		p.again = true
		return
	}
	p.busy, p.startedAt = true, time.Now()
	go func() { p.done <- p.controller.currentReports(ctx, p.snapshot) }()
}

// finish notes that a round's reports were taken.
func (p *reportPoller) finish(ctx context.Context) {
	p.busy = false
	if p.again {
		p.again = false
		p.start(ctx)
	}
}

// currentReports are the ranks' reports, those that lag carried on to the present.
func (c *Controller) currentReports(ctx context.Context, s *snapshot) []*Report {
	reports := c.reports(ctx, s.upstreams)
	for _, r := range reports {
		if r != nil && !r.Fresh {
			r.Pass += c.lagPasses(s)
		}
	}
	return reports
}

func (c *Controller) sendOrders(ctx context.Context, s *snapshot, orders []Order, replies chan<- orderResult, ended <-chan struct{}) {
	for _, o := range orders {
		u := s.upstreams[o.Rank]
		go func() {
			reply, err := c.o.RankClient.Order(ctx, u, o)
			if err != nil {
				_ = level.Info(c.o.Logger).Log("msg", "order", "op", o.Op, "upstream", u.ID, "rank", o.Rank, "version", o.Version,
					"pass", o.Pass, "reply", reply, "err", err)
			}
			select {
			case replies <- orderResult{o, reply}:
			case <-ended:
			}
		}()
	}
}

// undoUnfinished undoes what was left behind: a group that is held. It reports whether there is such a group.
//
// A leader that dies between holding a group and releasing it leaves ranks that begin no pass, and so does its own order to
// hold that is carried out late.
func (c *Controller) undoUnfinished(ctx context.Context, s *snapshot) bool {
	now := time.Now()
	unfinished := FindUnfinishedSwitch(s.reports)
	if unfinished == nil {
		c.unfinishedSince = time.Time{}
		return false
	}
	if c.unfinishedSince.IsZero() {
		c.unfinishedSince = now
	}
	patience := unfinishedAfter
	if !s.reports[unfinished.Holders[0]].Fresh {
		patience += 2 * s.group.Engine.ReportLag
	}
	if unfinished.Pending && !unfinished.Ahead || now.Sub(c.unfinishedSince) < patience {
		return true
	}
	// The map in use is read anew: the one that this leader has switched to is not in use as long as the pass is held.
	c.resetPlacement()
	if !c.loadPlacement(ctx, s) {
		return true
	}
	c.unfinishedSince = time.Time{}
	task := unfinished.Task(c.newTask(s))
	sw := NewSwitch(task)
	c.runSwitch(ctx, s, sw, sw.Undo(now, unfinished))
	_ = level.Warn(c.o.Logger).Log("msg", "switch undone", "reason", "the group was held", "version", task.Version, "pass", unfinished.Pass, "end", sw.State(),
		"took", time.Since(now))
	c.reset()
	return true
}
