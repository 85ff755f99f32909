package retry

import (
	"sync"
	"time"
)

// Window limits the retries of one service: in any time span of Bound.Length, to Bound.Ratio times the first attempts
// in that span, plus Bound.Extra. Several nodes share such a limit if each uses a share of Extra. It is safe for
// concurrent use.
type Window struct {
	mu    sync.Mutex
	bound Bound
	// start is the first recorded time. Buckets are numbered relative to it, so that the monotonic clock is used: if
	// the time of day were used and then set back, the retries of the last seconds would be forgotten and the bound
	// exceeded.
	start time.Time
	// latest is the latest recorded time.
	latest  time.Time
	buckets [windowBuckets]bucket
}

// Bound configures a Window.
type Bound struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// Extra is the number of additional retries allowed in each window.
	Extra float64
	// Parts is the number of nodes that Extra was divided by; it is only logged.
	Parts int
}

// Usage is the state of a Window, for logs and metrics.
type Usage struct {
	// First and Retries are the numbers of first attempts and retries that count now.
	First, Retries int
	Bound          Bound
	// Since is when the window recorded its first event; zero if it has none.
	Since time.Time
}

type bucket struct {
	index          int64
	first, retries int
}

const (
	// windowBuckets is the resolution. The oldest bucket counts in full for retries and not at all for first attempts.
	windowBuckets = 21
	// usedRatio is the fraction of Ratio that is used. The rest covers first attempts that never arrived.
	usedRatio = 0.9
)

// NewWindow returns a window with a zero bound, which allows no retries.
func NewWindow() *Window { return &Window{} }

// SetBound changes the bound.
func (w *Window) SetBound(b Bound) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bound = b
}

// RecordFirst records a first attempt.
func (w *Window) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.at(now); b != nil {
		b.first++
	}
}

// Remaining returns how many retries are allowed now.
func (w *Window) Remaining(now time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.at(now); b != nil {
		return max(0, int(w.remaining(b)))
	}
	return 0
}

// Allow consumes one retry and reports whether the bound allowed it.
func (w *Window) Allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.at(now)
	if b == nil || w.remaining(b) < 1 {
		return false
	}
	b.retries++
	return true
}

// Usage returns the state of the window.
func (w *Window) Usage(now time.Time) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := Usage{Bound: w.bound, Since: w.start}
	if b := w.at(now); b != nil {
		u.First, u.Retries = w.counts(b)
	}
	return u
}

// remaining returns how many more retries the bound allows; b is the newest bucket.
func (w *Window) remaining(b *bucket) float64 {
	first, retries := w.counts(b)
	return usedRatio*w.bound.Ratio*float64(first) + w.bound.Extra - float64(retries)
}

// counts returns the first attempts and retries in the window; b is the newest bucket.
func (w *Window) counts(b *bucket) (first, retries int) {
	for i := range w.buckets {
		age := b.index - w.buckets[i].index
		if age < windowBuckets {
			retries += w.buckets[i].retries
		}
		if age < windowBuckets-1 {
			first += w.buckets[i].first
		}
	}
	return first, retries
}

// at returns the current bucket, cleared if it held an older one. An event with a time before the latest one, for
// example of a request that waited, is counted in the current bucket: an earlier bucket may already hold newer counts.
func (w *Window) at(now time.Time) *bucket {
	width := int64(w.bound.Length) / (windowBuckets - 1)
	if width <= 0 {
		return nil
	}
	if w.start.IsZero() {
		w.start = now
	}
	if now.After(w.latest) {
		w.latest = now
	}
	// Index 0 is that of a bucket that was never used.
	index := 1 + int64(w.latest.Sub(w.start))/width
	b := &w.buckets[index%windowBuckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}
