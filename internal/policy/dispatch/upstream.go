package dispatch

import (
	"math"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/ratelimit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// upstreamState is the pool's state for one upstream.
type upstreamState struct {
	listed *catalog.Upstream
	// own is the work that this gateway has in flight there, others the work last reported by the other gateways.
	own, others Work
	health      ejectionState
	// slowdown is how many times longer than normal its work takes; 0 means normal.
	slowdown float64
	// closed is set while the upstream is known to refuse all requests.
	closed bool
	// allowance keeps this gateway's part of the upstream's request limit; nil if there is no limit. limit is the whole of
	// it, in requests per second.
	allowance *ratelimit.Bucket
	limit     float64
	// cold keeps this gateway's part of the rate that the upstream takes while it is cold; nil if it is warm.
	cold *coldLimit
	// restUntil is the end of the rest that the upstream has asked this gateway for.
	restUntil time.Time
	// leavingSince is when the upstream first said in a response that it will exit; zero if it did not.
	leavingSince time.Time
	// evacuated is set while the upstream's data centre is evacuated.
	evacuated bool
}

// leavingKept is how long it is remembered that an upstream leaves whose registration has expired. An upstream that is
// alive is registered again soon after the store returns.
const leavingKept = 10 * time.Minute

// acceptsRequests reports whether the upstream takes new requests in this incarnation, by the registry and by its own
// responses.
func (u *upstreamState) acceptsRequests() bool {
	return !u.evacuated && u.isInService()
}

// mustBeKept reports whether the state of an upstream that is no longer registered is still needed.
func (u *upstreamState) mustBeKept(now time.Time) bool {
	leaves := !u.leavingSince.IsZero() && now.Sub(u.leavingSince) < leavingKept
	return u.own.Requests > 0 || u.rests(now) || leaves
}

func (u *upstreamState) usable(now time.Time) bool {
	return u.acceptsRequests() && !u.closed && u.health.usable(now)
}

// permits reports whether the upstream permits this gateway a request now.
func (p *Pool) permits(u *upstreamState, now time.Time) bool {
	at, ok := p.permittedAt(u, now)
	return ok && !at.After(now)
}

// permittedAt returns the earliest time from now on at which the upstream's rest, limit and cold start permit a request;
// false if they permit none from this gateway.
func (p *Pool) permittedAt(u *upstreamState, now time.Time) (time.Time, bool) {
	at, ok := p.coldPermittedAt(u, now)
	if u.rests(now) && u.restUntil.After(at) {
		at = u.restUntil
	}
	if u.allowance == nil {
		return at, ok
	}
	ready, limitPermits := u.allowance.ReadyAt(now)
	if ready.After(at) {
		at = ready
	}
	return at, ok && limitPermits
}

// rests reports whether the upstream has asked this gateway for rest that has not ended.
func (u *upstreamState) rests(now time.Time) bool { return u.restUntil.After(now) }

// recordPlacement counts a request against the upstream's limit and the rate that it takes while it is cold.
func (u *upstreamState) recordPlacement(now time.Time) {
	if u.allowance != nil {
		u.allowance.Take(now)
	}
	if u.cold != nil {
		u.cold.bucket.Take(now)
	}
	u.health.recordChoice(now)
}

// hasFreeSlot reports whether the upstream may get another request, with fill as the limit for each of its slots.
func (u *upstreamState) hasFreeSlot(fill float64) bool {
	return float64(u.own.Requests+u.others.Requests) < u.maxRequests(fill)
}

// maxRequests returns the maximum number of requests in flight at the upstream.
//
// Each request at a slow rank lengthens every pass of its group. A slow rank therefore gets only as many requests as it
// can serve in the time that the other ranks take. The limit is divided by the square of the slowdown factor because a
// stream stays at its rank once it has begun.
func (u *upstreamState) maxRequests(fill float64) float64 {
	limit := fill * float64(max(1, u.listed.Slots))
	if u.slowdown > 1 {
		return math.Floor(limit / (u.slowdown * u.slowdown))
	}
	return limit
}
