package dispatch

import "time"

const (
	// rateWindow is the time over which the pool's throughput is measured: some answers of the slowest service.
	rateWindow = 2 * time.Second
	// leastRetry and mostRetry bound what refused callers are told; mostRetry is what a caller with a deadline of six
	// seconds honours.
	leastRetry = 200 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// rate counts events over the last rateWindow in two halves.
type rate struct {
	began         time.Time
	before, since int
}

func (r *rate) count(now time.Time) {
	r.roll(now)
	r.since++
}

func (r *rate) roll(now time.Time) {
	switch half := rateWindow / 2; {
	case r.began.IsZero() || now.Sub(r.began) > 2*half:
		r.began, r.before, r.since = now, 0, 0
	case now.Sub(r.began) > half:
		r.began, r.before, r.since = r.began.Add(half), r.since, 0
	}
}

// perSecond returns the rate; 0 if nothing was counted.
func (r *rate) perSecond() float64 {
	return float64(r.before+r.since) / rateWindow.Seconds()
}

// expectedWait is how long a request that joins the queue now waits, by the measured throughput; 0 if none is known or
// the pool is closed, so that nothing is refused on a guess.
func (p *Pool) expectedWait() time.Duration {
	perSecond := p.drained.perSecond()
	if perSecond == 0 || p.closed {
		return 0
	}
	return time.Duration(float64(len(p.waiting)) / perSecond * float64(time.Second))
}

// retryAfter spreads the callers that are refused over the time in which the queue drains, so that they do not come
// back together.
func (p *Pool) retryAfter(wait time.Duration) time.Duration {
	base := max(leastRetry, min(mostRetry, wait))
	return min(mostRetry, base+time.Duration(p.rng.Int64N(int64(base))))
}
