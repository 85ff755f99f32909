package retry

import "time"

// window counts the first attempts and retries of the last length of time. It is not safe for concurrent use.
type window struct {
	length time.Duration
	// start is the first recorded time. Buckets are numbered relative to it, so that the monotonic clock is used: if
	// the time of day were used and then set back, the counts of the last seconds would be forgotten.
	start time.Time
	// latest is the latest recorded time.
	latest  time.Time
	buckets [windowBuckets]bucket
}

type bucket struct {
	index          int64
	first, retries int
}

// windowBuckets is the resolution. The oldest bucket counts in full for retries and not at all for first attempts.
const windowBuckets = 21

// sums returns the first attempts and the retries of the window that ends at the latest time.
func (w *window) sums() (first, retries int) {
	newest := w.index()
	for _, b := range w.buckets {
		age := newest - b.index
		if age < windowBuckets {
			retries += b.retries
		}
		if age < windowBuckets-1 {
			first += b.first
		}
	}
	return first, retries
}

// at returns the current bucket, cleared if it held an older one; nil if the window has no length. An event with a time before
// the latest one, for example of a request that waited, is counted in the current bucket: an earlier bucket may already hold
// newer counts.
func (w *window) at(now time.Time) *bucket {
	if w.bucketLength() <= 0 {
		return nil
	}
	if w.start.IsZero() {
		w.start = now
	}
	if now.After(w.latest) {
		w.latest = now
	}
	index := w.index()
	b := &w.buckets[index%windowBuckets]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

func (w *window) bucketLength() int64 { return int64(w.length) / (windowBuckets - 1) }

// index returns the number of the current bucket. Index 0 is that of a bucket that was never used.
func (w *window) index() int64 { return 1 + int64(w.latest.Sub(w.start))/w.bucketLength() }
