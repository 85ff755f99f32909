package dispatch

import (
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/ratelimit"
)

// Allowance is what one gateway may send to an upstream that limits the requests from all gateways together.
type Allowance struct {
	// Limit is the upstream's limit in requests per second, Share this gateway's part of it; a share of 0 permits none.
	Limit, Share float64
}

// RestrictedError reports that all upstreams that could take the request have forbidden it for now.
type RestrictedError struct {
	// Limited is the number of upstreams whose limit forbids the request, Resting that of those that have asked for rest,
	// Cold that of those that have just started.
	Limited, Resting, Cold int
	// Waited is how long the request waited before it was refused.
	Waited     time.Duration
	RetryAfter time.Duration
}

// Error implements error.
func (e *RestrictedError) Error() string {
	return fmt.Sprintf("no upstream permits the request in time: %d limited, %d at rest, %d cold, waited %d ms", e.Limited, e.Resting, e.Cold, e.Waited.Milliseconds())
}

// Leave keeps requests of this gateway from an upstream that has said that it will exit; there is no way back in the same
// incarnation. It reports whether that is new.
func (p *Pool) Leave(i ids.UpstreamIncarnation, now time.Time) bool {
	u := p.upstreams[i]
	if u == nil || !u.leavingSince.IsZero() {
		return false
	}
	u.leavingSince = now
	return true
}

// Rest keeps requests of this gateway from an upstream that has asked for it. A rest never shortens another one.
func (p *Pool) Rest(i ids.UpstreamIncarnation, length time.Duration, now time.Time) {
	if u := p.upstreams[i]; u != nil && now.Add(length).After(u.restUntil) {
		u.restUntil = now.Add(length)
	}
}

// SetAllowances replaces the allowances of limited upstreams; the others are not limited. It returns the tickets that
// this decides.
func (p *Pool) SetAllowances(allowances map[ids.UpstreamIncarnation]Allowance, now time.Time) []*Ticket {
	p.limited = len(allowances) > 0
	for _, u := range p.order {
		a, limited := allowances[u.listed.Incarnation()]
		u.limit = a.Limit
		switch {
		case !limited:
			u.allowance = nil
		case u.allowance == nil:
			u.allowance = ratelimit.NewBucket(a.Share, now)
		default:
			u.allowance.SetRate(a.Share, now)
		}
	}
	return p.decide(now)
}

// restriction describes a pool all of whose upstreams in service are held back.
type restriction struct {
	// limited is the number of upstreams held back by their limit and cold that of cold ones, limits the sum of these limits
	// and perSecond that of this gateway's parts of them, in requests per second.
	limited, cold     int
	limits, perSecond float64
	// resting is the number of upstreams that have asked for rest.
	resting int
	// earliest is when the first upstream may take a request; only valid if some upstream will.
	earliest time.Time
	ends     bool
	// onlyLimits is set if nothing but limits and cold starts decides how fast waiting requests can be placed.
	onlyLimits bool
}

// onlyCold reports whether nothing but cold starts holds the upstreams back.
func (r restriction) onlyCold() bool { return r.cold > 0 && r.limited == 0 && r.resting == 0 }

// Limited reports whether an upstream's limit is in force, or one is cold.
func (p *Pool) Limited() bool { return p.limited || len(p.cold.Upstreams) > 0 }

// restriction returns whether no upstream in service may get the request now, at least one of them because of its limit,
// its rest or its cold start.
func (p *Pool) restriction(to Request, now time.Time) (restriction, bool) {
	r := restriction{onlyLimits: true}
	for _, u := range p.order {
		if !u.acceptsRequests() || u.closed || to.excludes(u.listed) {
			continue
		}
		at, ends := p.permittedAt(u, now)
		if u.rests(now) {
			r.resting++
		}
		if u.allowance != nil {
			r.limited++
		}
		if u.cold != nil {
			r.cold++
		}
		limit, perSecond, ok := u.heldBack()
		r.limits += limit
		r.perSecond += perSecond
		r.onlyLimits = r.onlyLimits && ok
		if ends && at.Before(u.health.ejectedUntil) {
			at = u.health.ejectedUntil
		}
		if ends && !at.After(now) {
			return restriction{}, false
		}
		if ends && (!r.ends || at.Before(r.earliest)) {
			r.ends, r.earliest = true, at
		}
	}
	return r, r.limited+r.resting+r.cold > 0
}

// wait returns how long a request waits behind others. It returns false if this gateway has no part of any limit; the time
// is then that until the upstreams accept one more request from whichever gateway.
func (r restriction) wait(ahead int, now time.Time) (time.Duration, bool) {
	if !r.ends {
		return time.Duration(min(maxRetry.Seconds(), 1/max(r.limits, minLimits)) * float64(time.Second)), false
	}
	wait := r.earliest.Sub(now)
	if r.onlyLimits && r.perSecond > 0 {
		wait += time.Duration(float64(ahead) / r.perSecond * float64(time.Second))
	}
	return wait, true
}

// minLimits avoids a division by zero for upstreams that accept nothing.
const minLimits = 0.01

// restrictedError returns the refusal of a request that limits and rests keep from being started in time, with a number
// of requests ahead of it, and nil if it may wait.
//
// A request that waits for them and then starts too late to meet its target keeps its caller from another gateway, which
// may have a part of the limit to spare, and which the upstream may not have asked for rest.
//
// Requests that are late already wait for cold upstreams, of some of which each gateway has a part, and so do all while a group
// works off what has waited for it. After an outage all upstreams are cold; refused together, the callers would come back
// late in any case, and use up the retry that they have left.
func (p *Pool) restrictedError(r Request, ahead int, now time.Time) error {
	if err := p.evacuatedError(r, now); err != nil {
		return err
	}
	if p.closed {
		return nil
	}
	held, restricted := p.restriction(r, now)
	if !restricted {
		return nil
	}
	wait, ends := held.wait(ahead, now)
	start := now.Add(wait)
	inTime := !p.late(r, start)
	if r.Begun || held.onlyCold() && (p.late(r, now) || p.reopened(now)) {
		inTime = !start.After(p.startBy(r))
	}
	if ends && inTime {
		return nil
	}
	return &RestrictedError{Limited: held.limited, Resting: held.resting, Cold: held.cold, Waited: now.Sub(r.Arrived), RetryAfter: p.retryAfter(wait)}
}
