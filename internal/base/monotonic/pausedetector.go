package monotonic

import (
	"sync"
	"time"
)

const (
	// pauseThreshold is the gap between two observations above which the process counts as paused. It is several times the
	// normal gap, because on a busy host an observation is a few normal gaps late.
	pauseThreshold = 300 * time.Millisecond
	// resumeWindow is the time after a pause within which a request that is read may have arrived during the pause.
	resumeWindow = 100 * time.Millisecond
)

// PauseDetector detects that its process did not run for a while, for example because its host was paused. It is safe for
// concurrent use.
//
// A request that arrived during the pause and was not read until afterwards has less time left than its header states.
type PauseDetector struct {
	mu                      sync.Mutex
	lastObserved, resumedAt time.Time
	pause                   time.Duration
}

// Observe records that the process is running at now. It returns the length of the last pause if the process resumed
// within resumeWindow before now, and 0 otherwise.
func (d *PauseDetector) Observe(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap := now.Sub(d.lastObserved); !d.lastObserved.IsZero() && gap > pauseThreshold {
		d.resumedAt, d.pause = now, gap
	}
	if now.After(d.lastObserved) {
		d.lastObserved = now
	}
	if d.resumedAt.IsZero() || now.Sub(d.resumedAt) > resumeWindow {
		return 0
	}
	return d.pause
}
