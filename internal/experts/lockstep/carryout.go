package lockstep

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// lagPasses is how many passes a report is behind, from the reports' age and a usual pass.
func (c *Controller) lagPasses(s *survey) uint64 {
	if s.reports[0].Fresh {
		return 0
	}
	return uint64(s.group.Engine.ReportLag / usualPass)
}

// usualPass is the length of a pass of a loaded group; a shorter one costs another try at holding the group.
const usualPass = 50 * time.Millisecond

// task is a new task for the present leader. Its version is unique: leaders' numbers are, and versions of one leader
// count up from its own.
func (c *Controller) task(s *survey) Task {
	serial := c.o.Serials.next(c.fence)
	return Task{
		Epoch:      s.epoch,
		Ranks:      len(s.upstreams),
		StartTimes: s.startTimes(),
		Version:    versionOf(c.fence, serial),
		Present:    c.placement,
		HoldAt:     int(serial/versionsPerTask) % len(s.upstreams),

		AnswerTime: time.Duration(c.answerTime.Load()),

		Fallback: versionOf(c.fence, serial+1),
	}
}

type answered struct {
	order Order
	reply Reply
}

// carryOut runs a switch to its end, or until ctx ends.
func (c *Controller) carryOut(ctx context.Context, s *survey, sw *Switch, orders []Order) {
	replies := make(chan answered)
	ended := make(chan struct{})
	defer close(ended)
	tick := time.NewTicker(retryTick)
	defer tick.Stop()
	poll := newPoll(c, s)
	prepared := map[int]bool{}
	for !sw.Ended() {
		c.give(ctx, s, orders, replies, ended)
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
			if len(prepared) == len(s.upstreams) && !sw.Ended() {
				poll.now(ctx)
			}
		case reports := <-poll.done:
			poll.ended(ctx)
			orders = sw.OnReports(time.Now(), reports)
		case now := <-tick.C:
			orders = sw.Tick(now)
			if !sw.Ended() {
				poll.tick(ctx, now)
			}
		}
	}
}

// poll asks all ranks for their reports, one round at a time, beside the loop that gives orders.
//
// The rounds of orders do not wait for reports: while one rank loses orders and another reports late, the group would be held
// for as long as both last.
type poll struct {
	controller *Controller
	survey     *survey
	// done gets the reports of a round; it takes one without a reader, so that no round outlives its switch for long.
	done chan []*Report
	at   time.Time
	busy bool
	// again says that a round is due as soon as the present one is over.
	again bool
}

func newPoll(c *Controller, s *survey) *poll {
	return &poll{controller: c, survey: s, done: make(chan []*Report, 1), at: time.Now()}
}

// tick begins a round when it is due.
func (p *poll) tick(ctx context.Context, now time.Time) {
	if !p.busy && now.Sub(p.at) >= pollInterval {
		p.now(ctx)
	}
}

// now begins a round at once, or after the present one, which may have asked too early.
func (p *poll) now(ctx context.Context) {
	if p.busy {
		p.again = true
		return
	}
	p.busy, p.at = true, time.Now()
	go func() { p.done <- p.controller.reportsNow(ctx, p.survey) }()
}

// ended notes that a round's reports were taken.
func (p *poll) ended(ctx context.Context) {
	p.busy = false
	if p.again {
		p.again = false
		p.now(ctx)
	}
}

// reportsNow are the ranks' reports, those that lag carried on to the present.
func (c *Controller) reportsNow(ctx context.Context, s *survey) []*Report {
	reports := c.reports(ctx, s.upstreams)
	for _, r := range reports {
		if r != nil && !r.Fresh {
			r.Pass += c.lagPasses(s)
		}
	}
	return reports
}

func (c *Controller) give(ctx context.Context, s *survey, orders []Order, replies chan<- answered, ended <-chan struct{}) {
	for _, o := range orders {
		u := s.upstreams[o.Rank]
		go func() {
			reply, err := c.o.RankClient.Order(ctx, u, o)
			if err != nil {
				_ = level.Info(c.o.Logger).Log("msg", "order", "op", o.Op, "upstream", u.ID, "rank", o.Rank, "version", o.Version,
					"pass", o.Pass, "reply", reply, "err", err)
			}
			select {
			case replies <- answered{o, reply}:
			case <-ended:
			}
		}()
	}
}

// cleanUp undoes what was left behind: a group that is held. It reports whether there is such a group.
//
// A leader that dies between holding a group and releasing it leaves ranks that begin no pass, and so does its own order to
// hold that is carried out late.
func (c *Controller) cleanUp(ctx context.Context, s *survey) bool {
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
	c.forgetPlacement()
	if !c.learnPlacement(ctx, s) {
		return true
	}
	c.unfinishedSince = time.Time{}
	task := unfinished.Task(c.task(s))
	sw := NewSwitch(task)
	c.carryOut(ctx, s, sw, sw.Undo(now, unfinished))
	_ = level.Warn(c.o.Logger).Log("msg", "switch undone", "reason", "the group was held", "version", task.Version, "pass", unfinished.Pass, "end", sw.State(),
		"took", time.Since(now))
	c.forget()
	return true
}
