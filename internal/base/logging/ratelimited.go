package logging

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// KeySuppressed is the log key for the number of lines of the same class that were suppressed before a line.
const KeySuppressed = "left_out"

// RateLimited forwards a limited number of lines per second to a logger and counts the others. It is safe for concurrent
// use.
//
// Under overload, writing log lines would take the processor time that requests need. With one limit for each class of
// lines, the log volume does not grow with the load. The next line that is written reports how many were suppressed.
type RateLimited struct {
	next       log.Logger
	limiter    *rate.Limiter
	now        func() time.Time
	suppressed atomic.Uint64
	total      atomic.Uint64
}

// NewRateLimited returns a logger that writes up to perSecond lines per second to next, in bursts of up to perSecond.
func NewRateLimited(next log.Logger, perSecond int, now func() time.Time) *RateLimited {
	return &RateLimited{next: next, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), now: now}
}

// Log implements log.Logger.
func (r *RateLimited) Log(keyvals ...any) error {
	if !r.limiter.AllowN(r.now(), 1) {
		r.suppressed.Add(1)
		r.total.Add(1)
		return nil
	}
	if n := r.suppressed.Swap(0); n > 0 {
		keyvals = append(keyvals, KeySuppressed, n)
	}
	return r.next.Log(keyvals...)
}

// Suppressed returns how many lines have been suppressed so far.
func (r *RateLimited) Suppressed() uint64 { return r.total.Load() }
