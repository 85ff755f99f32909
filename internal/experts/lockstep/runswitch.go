package lockstep

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// lagPasses returns by how many passes the reports are behind, from their age and the length of a normal pass.
func (c *Controller) lagPasses(s *snapshot) uint64 {
	if s.reports[0].Fresh {
		return 0
	}
	return uint64(s.group.Engine.ReportLag / normalPass)
}

// normalPass is the length of a pass of a loaded group. If passes are shorter, the attempt to hold the group fails
// and is repeated.
const normalPass = 50 * time.Millisecond

// newTask returns a task under the current fencing token. Its version is unique, because fencing tokens are unique
// and the versions under one token count up.
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
		HoldLead: c.holdLead(),

		LagPasses: c.lagPasses(s),
		Passes:    &c.passes,
	}
}

type orderResult struct {
	order Order
	reply Reply
	err   error
}

// runSwitch runs a switch until it finishes or ctx is done.
func (c *Controller) runSwitch(ctx context.Context, s *snapshot, sw *Switch, orders []Order) {
	replies := make(chan orderResult)
	finished := make(chan struct{})
	defer close(finished)
	tick := time.NewTicker(retryTick)
	defer tick.Stop()
	poll := newReportPoller(c, s, sw)
	prepared := map[int]bool{}
	given := givenOrders{}
	for !sw.Finished() {
		c.noticeHold(s, sw, time.Now())
		for _, o := range orders {
			c.logAgain(o, s.upstreams[o.Rank].ID, given.give(o))
		}
		c.sendOrders(ctx, s, orders, replies, finished)
		orders = nil
		select {
		case <-ctx.Done():
			c.abandonHold(s)
			return
		case a := <-replies:
			given.ended(a)
			orders = sw.OnReply(time.Now(), a.order, a.reply)
			if sw.ReportsDue() {
				poll.start(ctx)
			}
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
	c.noticeHold(s, sw, time.Now())
}

// reportPoller reads the reports of all ranks, one round at a time, concurrently with the loop that sends orders.
//
// The orders must not wait for reports: if one rank loses orders while another reports late, each resend would wait
// for the late report, and the group would stay held meanwhile.
type reportPoller struct {
	controller *Controller
	snapshot   *snapshot
	sw         *Switch
	// done receives the reports of a round. It buffers one, so that a round can end after its switch has finished.
	done      chan []*Report
	startedAt time.Time
	busy      bool
	// again is set if another round is due as soon as the current one is done.
	again bool
}

func newReportPoller(c *Controller, s *snapshot, sw *Switch) *reportPoller {
	return &reportPoller{controller: c, snapshot: s, sw: sw, done: make(chan []*Report, 1), startedAt: time.Now()}
}

// tick starts a round when it is due.
func (p *reportPoller) tick(ctx context.Context, now time.Time) {
	if !p.busy && now.Sub(p.startedAt) >= p.interval() {
		p.start(ctx)
	}
}

func (p *reportPoller) interval() time.Duration {
	if p.sw.task.LoadOnly {
		return loadPollInterval
	}
	return pollInterval
}

// start starts a round immediately or, if one is running, after it, since that round may have read reports too early.
func (p *reportPoller) start(ctx context.Context) {
	if p.busy {
		p.again = true
		return
	}
	p.busy, p.startedAt = true, time.Now()
	go func() { p.done <- p.controller.reports(ctx, p.snapshot.upstreams) }()
}

// finish records that a round's reports were received.
func (p *reportPoller) finish(ctx context.Context) {
	p.busy = false
	if p.again {
		p.again = false
		p.start(ctx)
	}
}

func (c *Controller) sendOrders(ctx context.Context, s *snapshot, orders []Order, replies chan<- orderResult, finished <-chan struct{}) {
	for _, o := range orders {
		u := s.upstreams[o.Rank]
		go func() {
			reply, err := c.o.RankClient.Order(ctx, u, o)
			if err != nil {
				_ = c.orderLog.Log("msg", "order", "op", o.Op, "upstream", u.ID, "rank", o.Rank, "version", o.Version,
					"pass", o.Pass, "reply", reply, "known", knownOf(reply, err), "err", err)
			}
			select {
			case replies <- orderResult{o, reply, err}:
			case <-finished:
			}
		}()
	}
}

// undoUnfinished undoes an unfinished switch if the group is held without one in progress. It reports whether the
// group is held.
//
// A leader that dies between holding a group and releasing it leaves ranks that begin no pass. A hold order that is
// executed late has the same effect, even if it is the leader's own.
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
	timeout := unfinishedAfter
	if c.o.TookOver != nil && c.o.TookOver(c.fence) {
		timeout = 0 // the leader that held the group is known to be silent
	}
	if !s.reports[unfinished.Holders[0]].Fresh {
		timeout += 2 * s.group.Engine.ReportLag
	}
	if unfinished.Pending && !unfinished.Superseded || now.Sub(c.unfinishedSince) < timeout {
		return true
	}
	// The map in use is read again: as long as the pass is held, the map that this leader has switched to is not in
	// use.
	c.resetPlacement()
	if !c.loadPlacement(ctx, s) {
		return true
	}
	c.unfinishedSince = time.Time{}
	task := unfinished.Task(c.newTask(s))
	sw := NewSwitch(task)
	c.runSwitch(ctx, s, sw, sw.Undo(now, unfinished))
	_ = level.Warn(c.o.Logger).Log("msg", "switch undone", "reason", "the group was held", "version", task.Version, "pass", unfinished.Pass, "superseded", unfinished.Superseded, "end", sw.State(),
		"took", time.Since(now))
	c.reset()
	return true
}
