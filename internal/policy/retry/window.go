package retry

import (
	"sync"
	"time"
)

// Window bounds the retries of one service within any span of a given length, to a ratio of the first attempts in it
// plus a fixed number. Several nodes share such a bound by taking a part of the fixed number each. It is safe for
// concurrent use.
type Window struct {
	mu    sync.Mutex
	bound Bound
	// began is the first moment that was counted. Buckets are numbered from it, so that differences of the monotonic clock
	// count: if the time of day is set back, retries of the last seconds would be forgotten and the bound broken.
	began time.Time
	// latest is the latest moment that was counted.
	latest  time.Time
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

// Left returns how many retries may be paid for now.
func (w *Window) Left(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.at(now); b != nil {
		return max(0, int(w.left(b)))
	}
	return 0
}

// Allow pays for one retry; false if the budget is used up.
func (w *Window) Allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.at(now)
	if b == nil || w.left(b) < 1 {
		return false
	}
	b.retries++
	return true
}

// left is what the bound allows beyond what the window holds, whose newest bucket is b.
func (w *Window) left(b *bucket) float64 {
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
	return kept*w.bound.Ratio*float64(first) + w.bound.Extra - float64(retries)
}

// at returns the bucket of the present, emptied if it held an older one. What is counted late, as its request waited, counts for
// the present: a bucket of the past may hold newer counts by now.
func (w *Window) at(now time.Time) *bucket {
	width := int64(w.bound.Length) / (windowBuckets - 1)
	if width <= 0 {
		return nil
	}
	if w.began.IsZero() {
		w.began = now
	}
	if now.After(w.latest) {
		w.latest = now
	}
	// Index 0 stands for a bucket that was never used.
	index := 1 + int64(w.latest.Sub(w.began))/width
	b := &w.buckets[index%windowBuckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}
