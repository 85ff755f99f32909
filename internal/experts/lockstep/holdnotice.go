package lockstep

import "time"

// HoldNoticeInterval is the interval of ControllerOptions.OnHold while a group is held.
const HoldNoticeInterval = 20 * time.Millisecond

// HoldState is what a switch reports about its hold of a group.
type HoldState int

const (
	// HoldOutstanding: the group is held, or an order to hold it is being sent.
	HoldOutstanding HoldState = iota
	// HoldReleased: the switch has finished.
	HoldReleased
	// HoldAbandoned: the controller was stopped in the middle of the switch, and the group may stay held.
	HoldAbandoned
)

// noticeHold reports a hold when it begins, each HoldNoticeInterval, and when it ends.
//
// It is called by the loop that sends the orders, so that a switch that makes no progress is noticed as well.
func (c *Controller) noticeHold(s *snapshot, sw *Switch, now time.Time) {
	switch {
	case c.o.OnHold == nil:
	case !sw.Holds():
		if !c.holdNoticedAt.IsZero() {
			c.holdNoticedAt = time.Time{}
			c.o.OnHold(s.group.Name, HoldReleased, c.fence)
		}
	case c.holdNoticedAt.IsZero() || now.Sub(c.holdNoticedAt) >= HoldNoticeInterval:
		c.holdNoticedAt = now
		c.o.OnHold(s.group.Name, HoldOutstanding, c.fence)
	}
}

func (c *Controller) abandonHold(s *snapshot) {
	if !c.holdNoticedAt.IsZero() {
		c.holdNoticedAt = time.Time{}
		c.o.OnHold(s.group.Name, HoldAbandoned, c.fence)
	}
}

func (c *Controller) holdLead() uint64 {
	if c.o.HoldLead == nil {
		return 0
	}
	return c.o.HoldLead()
}
