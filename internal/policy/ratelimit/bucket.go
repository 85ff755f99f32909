package ratelimit

import (
	"math"
	"time"
)

// burstWindow is how much of its rate a bucket can save up.
const burstWindow = 100 * time.Millisecond

// Bucket is a token bucket: it permits requests at a rate, with one request or burstWindow of the rate saved up. It
// starts empty, so that a part that moves between gateways is not used by both.
type Bucket struct {
	perSecond float64
	// burst replaces the number of requests that may be saved up; 0 for the default.
	burst     float64
	tokens    float64
	updatedAt time.Time
}

// NewBucket returns an empty bucket that fills at a rate in requests per second.
func NewBucket(perSecond float64, now time.Time) *Bucket {
	return &Bucket{perSecond: perSecond, updatedAt: now}
}

// PerSecond returns the rate in requests per second.
func (b *Bucket) PerSecond() float64 { return b.perSecond }

// SetRate changes the rate in requests per second. A rate of 0 empties the bucket.
func (b *Bucket) SetRate(perSecond float64, now time.Time) {
	if perSecond == b.perSecond {
		return
	}
	b.fill(now)
	b.perSecond = perSecond
	b.tokens = min(b.tokens, b.capacity())
}

// SetBurst sets how many requests may be saved up, at least one.
func (b *Bucket) SetBurst(requests float64) { b.burst = max(1, requests) }

// Tokens returns the number of requests that are saved up.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// ReadyAt returns the earliest time from now on at which a request is permitted; false if there is none.
func (b *Bucket) ReadyAt(now time.Time) (time.Time, bool) {
	b.fill(now)
	switch {
	case b.tokens >= 1:
		return now, true
	case b.perSecond <= 0:
		return time.Time{}, false
	}
	seconds := (1 - b.tokens) / b.perSecond
	return now.Add(time.Duration(math.Ceil(seconds * float64(time.Second)))), true
}

// Take uses up one request. Call it only if ReadyAt has returned now.
func (b *Bucket) Take(now time.Time) {
	b.fill(now)
	b.tokens--
}

func (b *Bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.tokens = min(b.capacity(), b.tokens+elapsed*b.perSecond)
		b.updatedAt = now
	}
}

func (b *Bucket) capacity() float64 {
	switch {
	case b.perSecond <= 0:
		return 0
	case b.burst > 0:
		return b.burst
	}
	return max(1, b.perSecond*burstWindow.Seconds())
}
