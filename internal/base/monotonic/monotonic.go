// Package monotonic provides the process's monotonic clock as an integer, for timestamps in atomic fields, and detects
// pauses of the process.
//
// The host's wall clock may be set forward by seconds. Timeouts based on it would close idle connections just as callers
// send their next requests, and would empty counters that cover the last seconds. The monotonic clock is never set.
package monotonic

import (
	"context"
	"time"
)

var startTime = time.Now()

// Nanos returns the monotonic time since the process started, in nanoseconds. It is at least 1, so that fields can use 0
// for "never".
func Nanos() int64 { return max(1, int64(time.Since(startTime))) }

// Sleep blocks for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
