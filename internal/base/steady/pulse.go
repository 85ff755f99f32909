package steady

import (
	"sync"
	"time"
)

const (
	// missedBeats is the time between two beats from which on the process is held to have stood still; it is some times the
	// usual one, as a busy host is late by a few.
	missedBeats = 300 * time.Millisecond
	// justWoken is how long after a standstill what is read may have waited for it.
	justWoken = 100 * time.Millisecond
)

// Pulse notices when its process did not run for a while, as when its host was frozen. It is safe for concurrent use.
//
// A request that waited unread through that has less time left than its header says.
type Pulse struct {
	mu           sync.Mutex
	last, wokeAt time.Time
	stood        time.Duration
}

// Beat says that the process runs. It returns for how long the process stood still before if it has just woken, else 0.
func (p *Pulse) Beat(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if gap := now.Sub(p.last); !p.last.IsZero() && gap > missedBeats {
		p.wokeAt, p.stood = now, gap
	}
	if now.After(p.last) {
		p.last = now
	}
	if p.wokeAt.IsZero() || now.Sub(p.wokeAt) > justWoken {
		return 0
	}
	return p.stood
}
