package gateway

import (
	"testing"
	"time"
)

// A caller sends a request to a gateway that leaves 3.3 s after its SIGTERM, long after the address was last given out. The
// stream takes longer than what is left of the grace time and is cut off in the middle. Requests are served for as long as
// callers keep an answer of the directory, and then sent elsewhere at once.
func TestLeavingPeriod(t *testing.T) {
	for _, c := range []struct{ grace, directoryTTL, want time.Duration }{
		{8 * time.Second, time.Second, 2800 * time.Millisecond},
		{30 * time.Second, time.Second, 2800 * time.Millisecond},
		{4 * time.Second, time.Second, 1800 * time.Millisecond},
		{8 * time.Second, 500 * time.Millisecond, 1400 * time.Millisecond},
	} {
		if got := leavingPeriod(c.grace, c.directoryTTL); got != c.want {
			t.Errorf("grace %s, answers kept for %s: serves on for %s, want %s", c.grace, c.directoryTTL, got, c.want)
		}
	}
}
