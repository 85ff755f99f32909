package logging

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// KeySuppressed is the field of a line that says how many lines of its class were left out before it.
const KeySuppressed = "left_out"

// RateLimited passes on at most so many lines a second, and counts the others. It is safe for concurrent use.
//
// Under overload, writing lines would take the processor time that requests need. With a bound for each class of lines, what
// a process logs does not follow its load; the next line that is written says how many are missing.
type RateLimited struct {
	next       log.Logger
	limiter    *rate.Limiter
	now        func() time.Time
	suppressed atomic.Uint64
	total      atomic.Uint64
}

// NewRateLimited returns a logger that writes up to perSecond lines a second to next, with bursts of as many.
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

// Suppressed returns how many lines were left out so far.
func (r *RateLimited) Suppressed() uint64 { return r.total.Load() }
