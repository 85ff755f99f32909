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
// Failure: one rank of a group works at a twelfth of its pace. Each of its requests makes every pass of the whole group
// longer by what twelve take elsewhere, so that all callers wait for those few. A slow rank gets the part of the slots that
// it can serve in the time of the others, by the square of its pace: a stream that has begun stays. Played days with such a
// rank gave 0.689 instead of 0.621 and 0.417 instead of 0.364 of their worth.
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
