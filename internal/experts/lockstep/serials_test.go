package lockstep

import (
	"testing"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

func newerFenceOf(t *testing.T, c *Controller, reports ...Report) ids.Fence {
	t.Helper()
	return c.newerFence(&snapshot{reports: reports})
}

// Guards against a group that stays held. A leader is paused while another one takes over, switches the group, holds it
// again and dies. When the first resumes, all nodes still consider it the leader, but the ranks refuse its orders. It
// must detect from the ranks' versions that its fencing token is obsolete.
func TestStaleFenceIsDetectedFromRankVersions(t *testing.T) {
	c := NewController(ControllerOptions{Serials: NewSerials(), Logger: log.NewNopLogger()})
	c.fence = 6
	own := Report{Version: versionOf(6, 4), Prepared: versionOf(6, 6)}
	if got := newerFenceOf(t, c, own, Report{Version: versionOf(4, 8)}); got != 0 {
		t.Fatalf("newer fence %d, want none", got)
	}
	if got := newerFenceOf(t, c, own, Report{Version: versionOf(4, 8), Prepared: versionOf(7, 2)}); got != 7 {
		t.Fatalf("newer fence %d, want 7", got)
	}
}

// Guards against two maps with one version. A leader that runs for hours starts more tasks than one fencing token has
// versions for, and the next versions would be those of a later leader.
func TestFenceVersionsAreExhausted(t *testing.T) {
	c := NewController(ControllerOptions{Serials: NewSerials(), Logger: log.NewNopLogger()})
	c.fence = 6
	for c.newerFence(&snapshot{}) == 0 {
		if last := c.o.Serials.next(c.fence) + versionsPerTask; versionOf(6, last) > versionOf(7, 0) {
			t.Fatalf("task %d has versions of the next fence", last)
		}
	}
	if got := c.newerFence(&snapshot{}); got != 7 {
		t.Fatalf("newer fence %d, want 7", got)
	}
}
