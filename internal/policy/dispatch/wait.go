package dispatch

import (
	"cmp"
	"time"
)

const (
	// rateWindow is the window over which the pool's throughput is measured: long enough for several responses of the
	// slowest service.
	rateWindow = 2 * time.Second
	// minRetry and maxRetry bound the Retry-After of refusals while the pool is open; closedRetry replaces it while it is
	// closed. A caller with a deadline of six seconds honours up to maxRetry.
	minRetry = 200 * time.Millisecond
	maxRetry = 2 * time.Second
)

// rate counts events over a sliding window of two halves.
type rate struct {
	// window is the length of the window; 0 means rateWindow.
	window            time.Duration
	halfStart         time.Time
	previous, current int
}

func (r *rate) length() time.Duration { return cmp.Or(r.window, rateWindow) }

func (r *rate) count(now time.Time) {
	r.roll(now)
	r.current++
}

func (r *rate) roll(now time.Time) {
	switch half := r.length() / 2; {
	case r.halfStart.IsZero() || now.Sub(r.halfStart) > 2*half:
		r.halfStart, r.previous, r.current = now, 0, 0
	case now.Sub(r.halfStart) > half:
		r.halfStart, r.previous, r.current = r.halfStart.Add(half), r.current, 0
	}
}

// perSecond returns the rate; 0 if there were no events in the window.
func (r *rate) perSecond() float64 {
	return float64(r.events()) / r.length().Seconds()
}

// events returns the number of events in the window.
func (r *rate) events() int { return r.previous + r.current }

// expectedWait estimates from the measured throughput how long a request that joins the queue now waits. It returns 0
// if the throughput is unknown, so that no request is refused on a guess.
//
// The throughput measured while the pool was closed is close to zero and would cause requests to be refused while slots
// are free. It therefore counts as unknown until a full window has passed since the pool opened.
func (p *Pool) expectedWait(now time.Time) time.Duration { return p.waitBehind(len(p.waiting), now) }

// waitBehind is expectedWait for a number of requests ahead.
func (p *Pool) waitBehind(ahead int, now time.Time) time.Duration {
	perSecond := p.completed.perSecond()
	if perSecond == 0 || p.closed || p.reopened(now) {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// reopened reports whether the pool opened so recently that requests which waited for it are still being worked off.
func (p *Pool) reopened(now time.Time) bool { return now.Sub(p.openedAt) < rateWindow }

// closedRetry is the Retry-After of a broken group. A crashed rank is back within seconds. Callers honour up to a third
// of their remaining time, so this value is honoured by those with at least 6.6 seconds left.
const closedRetry = 2200 * time.Millisecond

// lostAfter is how long a group may be closed before requests no longer wait for it: twice the time that a crashed rank
// needs to come back.
const lostAfter = 8 * time.Second

// lost reports whether the group has been closed for so long that its recovery time is unknown.
//
// If so many ranks are missing that the group cannot form, requests are refused immediately so that callers can try
// another server.
func (p *Pool) lost(now time.Time) bool { return p.closed && now.Sub(p.closedAt) > lostAfter }

// retryAfter returns the Retry-After of a refusal. It spreads the refused callers over the time in which the queue
// drains, so that they do not come back together.
func (p *Pool) retryAfter(wait time.Duration) time.Duration {
	if p.closed {
		return closedRetry
	}
	base := float64(max(minRetry, min(maxRetry, wait)))
	spread := 1 + retrySpread*p.rng.Float64()
	return time.Duration(min(base, float64(maxRetry)/(1+retrySpread)) * spread)
}

// retrySpread is the maximum random addition to the Retry-After, as a fraction of the expected wait.
const retrySpread = 0.5

const (
	// firstResponseGuess is the initial value of the mean time to the first response.
	firstResponseGuess = 200 * time.Millisecond
	// firstResponseWeight is the weight of a new measurement in the moving average.
	firstResponseWeight = 0.1
	// firstResponseMargin is the multiple of the mean time to the first response that must be left before the caller
	// times out for a request to be worth starting.
	firstResponseMargin = 1.5
)

// recordFirstResponse records the time from the placement of a request to its first response.
func (p *Pool) recordFirstResponse(d time.Duration) {
	if p.firstResponse == 0 {
		p.firstResponse = firstResponseGuess
	}
	p.firstResponse += time.Duration(firstResponseWeight * float64(d-p.firstResponse))
}

// late reports whether a request that is started now would miss its target.
//
// The expected time to the first response is subtracted from the target. Otherwise requests would be started just
// before their target and be answered just after it, and requests behind them that still had time would become late. At
// most half of the time from arrival to target is subtracted.
func (p *Pool) late(r Request, now time.Time) bool {
	if p.opts.Disabled[FirstResponseTime] {
		return now.After(r.Target)
	}
	return now.Add(min(p.firstResponse, r.Target.Sub(r.Arrived)/2)).After(r.Target)
}

// startBy returns the latest time at which the request is worth starting.
func (p *Pool) startBy(r Request) time.Time {
	first := p.firstResponse
	if first == 0 {
		first = firstResponseGuess
	}
	return r.Deadline.Add(-time.Duration(firstResponseMargin * float64(first)))
}
