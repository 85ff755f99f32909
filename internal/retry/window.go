package retry

import (
	"sync"
	"time"
)

// Window bounds the retries of one service within any span of a given length, to a ratio of the first attempts in it
// plus a fixed number. Several nodes share such a bound by taking a part of the fixed number each. It is safe for
// concurrent use.
type Window struct {
	mu      sync.Mutex
	bound   Bound
	buckets [windowBuckets]bucket
}

// Bound is what a Window allows.
type Bound struct {
	// Length of the window.
	Length time.Duration
	// Ratio of retries to first attempts.
	Ratio float64
	// Extra retries for each window.
	Extra float64
}

type bucket struct {
	index          int64
	first, retries int
}

const (
	// windowBuckets is the resolution: the oldest bucket is counted whole for retries and not at all for first attempts.
	windowBuckets = 21
	// kept is the part of the bound that is used. The rest covers first attempts that never arrived.
	kept = 0.9
)

// NewWindow returns a budget without a bound, which allows nothing.
func NewWindow() *Window { return &Window{} }

// SetBound changes the bound.
func (w *Window) SetBound(b Bound) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bound = b
}

// First records a first attempt.
func (w *Window) First(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.at(now); b != nil {
		b.first++
	}
}

// Take pays for one retry; false if the budget is used up.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.at(now)
	if b == nil {
		return false
	}
	first, retries := 0, 0
	for i := range w.buckets {
		age := b.index - w.buckets[i].index
		if age < windowBuckets {
			retries += w.buckets[i].retries
		}
		if age < windowBuckets-1 {
			first += w.buckets[i].first
		}
	}
	if float64(retries+1) > kept*w.bound.Ratio*float64(first)+w.bound.Extra {
		return false
	}
	b.retries++
	return true
}

// at returns the bucket of the present, emptied if it held an older one.
func (w *Window) at(now time.Time) *bucket {
	width := int64(w.bound.Length) / (windowBuckets - 1)
	if width <= 0 {
		return nil
	}
	index := now.UnixNano() / width
	b := &w.buckets[index%windowBuckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}
