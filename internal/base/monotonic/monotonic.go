// Package monotonic tells the time that has passed in this process, for fields that are read and written as integers.
//
// The host's time of day may be set forward by seconds: idle connections would be closed under their callers' next requests,
// and counts of the last seconds start anew. The monotonic clock is not set.
package monotonic

import (
	"context"
	"time"
)

var started = time.Now()

// Nanos is the time in ns since the process started, of the monotonic clock; it is above 0, which stands for never.
func Nanos() int64 { return max(1, int64(time.Since(started))) }

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
