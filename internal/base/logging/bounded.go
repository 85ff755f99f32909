package logging

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// KeyLeftOut is the field of a line that says how many lines of its class were left out before it.
const KeyLeftOut = "left_out"

// Bounded passes on at most so many lines a second, and counts the others. It is safe for concurrent use.
//
// Under overload, writing lines would take the processor time that requests need. With a bound for each class of lines, what
// a process logs does not follow its load; the next line that is written says how many are missing.
type Bounded struct {
	next    log.Logger
	limiter *rate.Limiter
	now     func() time.Time
	leftOut atomic.Uint64
	total   atomic.Uint64
}

// NewBounded returns a logger that writes up to perSecond lines a second to next, with bursts of as many.
func NewBounded(next log.Logger, perSecond int, now func() time.Time) *Bounded {
	return &Bounded{next: next, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), now: now}
}

// Log implements log.Logger.
func (b *Bounded) Log(keyvals ...any) error {
	if !b.limiter.AllowN(b.now(), 1) {
		b.leftOut.Add(1)
		b.total.Add(1)
		return nil
	}
	if n := b.leftOut.Swap(0); n > 0 {
		keyvals = append(keyvals, KeyLeftOut, n)
	}
	return b.next.Log(keyvals...)
}

// LeftOut returns how many lines were left out so far.
func (b *Bounded) LeftOut() uint64 { return b.total.Load() }
