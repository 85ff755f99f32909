package slot

import (
	"math"
	"sync/atomic"
	"time"
)

// speed holds the moving average of the time between an engine's tokens, or of the response time of a plain service. It
// is safe for concurrent use.
type speed struct{ tokenTime average }

// average is an exponentially weighted moving average of times, in nanoseconds.
type average struct{ bits atomic.Uint64 }

// newestWeight is the weight of a new value; the average covers about the last twenty values.
const newestWeight = 0.05

func (a *average) add(d time.Duration) {
	for {
		old := a.bits.Load()
		v := math.Float64frombits(old)
		if old == 0 {
			v = float64(d)
		}
		v += newestWeight * (float64(d) - v)
		if a.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}

func (a *average) value() time.Duration { return time.Duration(math.Float64frombits(a.bits.Load())) }
