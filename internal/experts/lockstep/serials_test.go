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

// A leader is paused while another takes over, switches the group, holds it once more and ends. The first wakes, is still
// believed by all to lead, and has each of its orders refused, so that the group stays held. The ranks' versions tell it
// that its number is obsolete.
func TestStaleFenceIsDetectedFromRankVersions(t *testing.T) {
	c := NewController(ControllerOptions{Serials: NewSerials(), Logger: log.NewNopLogger()})
	c.fence = 6
	own := Report{Version: versionOf(6, 4), Prepared: versionOf(6, 6)}
	if got := newerFenceOf(t, c, own, Report{Version: versionOf(4, 8)}); got != 0 {
		t.Fatalf("outdated by %d, want by none", got)
	}
	if got := newerFenceOf(t, c, own, Report{Version: versionOf(4, 8), Prepared: versionOf(7, 2)}); got != 7 {
		t.Fatalf("outdated by %d, want 7", got)
	}
}

// A leader that goes on for hours begins more tasks than one number has versions for. The next would have versions of a
// later leader's, and two maps one name.
func TestFenceVersionsAreExhausted(t *testing.T) {
	c := NewController(ControllerOptions{Serials: NewSerials(), Logger: log.NewNopLogger()})
	c.fence = 6
	for c.newerFence(&snapshot{}) == 0 {
		if last := c.o.Serials.next(c.fence) + versionsPerTask; versionOf(6, last) > versionOf(7, 0) {
			t.Fatalf("task %d has versions of the next number", last)
		}
	}
	if got := c.newerFence(&snapshot{}); got != 7 {
		t.Fatalf("outdated by %d, want 7", got)
	}
}
