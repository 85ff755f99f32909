package completeness

import (
	"math/bits"
	"sync"
)

const (
	// habitWindow is the number of latest responses of a service that its habit is read from.
	habitWindow = 64
	// minUsual is the number of responses among them, and usualShare the inverse of their share, from which responses that
	// end with their connection are usual for the service.
	minUsual   = 4
	usualShare = 8
)

// Habit records how a service ends its responses. It is safe for concurrent use.
//
// A service that does so regularly speaks that way, and asking again would only double its work. From one that states
// lengths, it is a sign that something broke.
type Habit struct {
	mu sync.Mutex
	// latest has a bit for each of the latest responses, set if it ended with its connection; seen counts them.
	latest uint64
	seen   int
}

// Record records a response; closeDelimited is set if it ends with its connection.
func (h *Habit) Record(closeDelimited bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.latest <<= 1
	if closeDelimited {
		h.latest |= 1
	}
	h.seen = min(h.seen+1, habitWindow)
}

// Usual reports whether it is usual for the service that responses end with their connection.
func (h *Habit) Usual() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := bits.OnesCount64(h.latest)
	return n >= minUsual && n*usualShare >= h.seen
}
