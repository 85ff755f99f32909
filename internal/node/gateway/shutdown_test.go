package gateway

import (
	"testing"
	"time"
)

// Guards against truncating a stream that takes longer than the rest of the grace time. A caller sends its request 3.3
// s after the gateway's SIGTERM, long after its address was last given out. Requests must be accepted only as long as
// callers cache a directory response, and then be refused immediately.
func TestLeavingPeriod(t *testing.T) {
	for _, c := range []struct{ grace, directoryTTL, want time.Duration }{
		{8 * time.Second, time.Second, 2800 * time.Millisecond},
		{30 * time.Second, time.Second, 2800 * time.Millisecond},
		{4 * time.Second, time.Second, 1800 * time.Millisecond},
		{8 * time.Second, 500 * time.Millisecond, 1400 * time.Millisecond},
	} {
		if got := leavingPeriod(c.grace, c.directoryTTL); got != c.want {
			t.Errorf("grace %s, directory TTL %s: accepts requests for %s, want %s", c.grace, c.directoryTTL, got, c.want)
		}
	}
}
