package dispatch

import (
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// target is one upstream in the pool.
type target struct {
	up *catalog.Upstream
	// own is what this gateway has in flight there, others what the other gateways last told.
	own, others Work
	health      outlier
	// pace is how many times as long as usual its work takes; 0 if it is as usual.
	pace float64
	// closed says that it is known to refuse what is sent to it.
	closed bool
}

func (t *target) usable(now time.Time) bool {
	return t.up.State == catalog.StateReady && !t.closed && t.health.usable(now)
}

// room reports whether the upstream may take another request: it has a slot for it.
//
// Each request at a slow rank makes every pass of its group longer. The rank gets the part of the slots that it can serve in
// the time of the others, by the square of its pace, as a stream that has begun stays.
func (t *target) room(fill float64) bool {
	return float64(t.own.Requests+t.others.Requests) < t.limit(fill)
}

// limit is how many requests the upstream may have.
func (t *target) limit(fill float64) float64 {
	limit := fill * float64(max(1, t.up.Slots))
	if t.pace > 1 {
		return math.Floor(limit / (t.pace * t.pace))
	}
	return limit
}
