package dispatch

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/ratelimit"
)

// ColdAllowance is what one gateway may send to a cold upstream.
type ColdAllowance struct {
	// Limit is the rate of all gateways together and PerSecond this gateway's part, in requests per second; 0 permits none.
	// Burst is how many requests the part may save up.
	Limit, PerSecond, Burst float64
}

// ColdAllowances are the allowances of a pool's cold upstreams.
type ColdAllowances struct {
	Upstreams map[ids.UpstreamIncarnation]ColdAllowance
	// From is the time before which none of them permits a request, ValidUntil the time from which they do not count any
	// more unless they are renewed.
	From, ValidUntil time.Time
}

// coldLimit keeps this gateway's part of the rate that a cold upstream takes.
type coldLimit struct {
	bucket *ratelimit.Bucket
	limit  float64
}

// coldRenewal is how long requests wait for allowances that have not been renewed: two ticks of the control loop.
const coldRenewal = 100 * time.Millisecond

// SetCold replaces the allowances of cold upstreams; the others are not cold. It returns the tickets that this decides.
func (p *Pool) SetCold(c ColdAllowances, now time.Time) []*Ticket {
	p.cold = c
	for _, u := range p.order {
		p.applyCold(u, now)
	}
	return p.decide(now)
}

// applyCold sets an upstream's allowance. An upstream that is listed again or for the first time has it from the start: many
// gateways would send their waiting requests there at once.
func (p *Pool) applyCold(u *upstreamState, now time.Time) {
	a, cold := p.cold.Upstreams[u.listed.Incarnation()]
	switch {
	case !cold:
		u.cold = nil
		return
	case u.cold == nil:
		u.cold = &coldLimit{bucket: ratelimit.NewBucket(0, now)}
	}
	u.cold.limit = a.Limit
	u.cold.bucket.SetBurst(a.Burst)
	u.cold.bucket.SetRate(a.PerSecond, now)
}

// coldPermittedAt returns the earliest time from now on at which a cold upstream may get a request of this gateway; false if
// it gets none.
func (p *Pool) coldPermittedAt(u *upstreamState, now time.Time) (time.Time, bool) {
	switch {
	case u.cold == nil:
		return now, true
	case now.Before(p.cold.From):
		return p.cold.From, true
	case !now.Before(p.cold.ValidUntil):
		return now.Add(coldRenewal), true
	}
	return u.cold.bucket.ReadyAt(now)
}

// heldBack returns the limit that decides how fast this gateway may send to an upstream, as a whole and this gateway's part:
// the smaller part of its stated limit and of what it takes while it is cold. It returns false if there is neither.
func (u *upstreamState) heldBack() (limit, perSecond float64, ok bool) {
	if u.allowance != nil {
		limit, perSecond, ok = u.limit, u.allowance.PerSecond(), true
	}
	if u.cold != nil && (!ok || u.cold.bucket.PerSecond() < perSecond) {
		limit, perSecond, ok = u.cold.limit, u.cold.bucket.PerSecond(), true
	}
	return limit, perSecond, ok
}

// SetCold replaces the allowances of cold upstreams.
func (g *Gate) SetCold(c ColdAllowances) {
	g.update(func(p *Pool, now time.Time) []*Ticket { return p.SetCold(c, now) })
}
