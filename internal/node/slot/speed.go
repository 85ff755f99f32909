package slot

import (
	"math"
	"sync/atomic"
	"time"
)

// speed keeps moving averages of what the upstream was measured at. It is safe for concurrent use.
type speed struct{ step average }

// average is an exponentially weighted moving average of times, in nanoseconds.
type average struct{ bits atomic.Uint64 }

// newestWeight is the weight of one new value: about the last twenty values count.
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
