package monotonic

import (
	"sync"
	"time"
)

const (
	// pauseThreshold is the time between two observations from which on the process is held to have stood still; it is some times the
	// usual one, as a busy host is late by a few.
	pauseThreshold = 300 * time.Millisecond
	// justWoken is how long after a standstill what is read may have waited for it.
	justWoken = 100 * time.Millisecond
)

// PauseDetector notices when its process did not run for a while, as when its host was frozen. It is safe for concurrent use.
//
// A request that waited unread through that has less time left than its header says.
type PauseDetector struct {
	mu           sync.Mutex
	last, wokeAt time.Time
	stood        time.Duration
}

// Observe says that the process runs. It returns for how long the process stood still before if it has just woken, else 0.
func (d *PauseDetector) Observe(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap := now.Sub(d.last); !d.last.IsZero() && gap > pauseThreshold {
		d.wokeAt, d.stood = now, gap
	}
	if now.After(d.last) {
		d.last = now
	}
	if d.wokeAt.IsZero() || now.Sub(d.wokeAt) > justWoken {
		return 0
	}
	return d.stood
}
