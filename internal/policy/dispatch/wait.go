package dispatch

import (
	"cmp"
	"time"
)

const (
	// rateWindow is the time over which the pool's throughput is measured: some answers of the slowest service.
	rateWindow = 2 * time.Second
	// minRetry and maxRetry bound what refused callers are told; maxRetry is what a caller with a deadline of six
	// seconds honours.
	minRetry = 200 * time.Millisecond
	maxRetry = 2 * time.Second
)

// rate counts events over the last window in two halves.
type rate struct {
	// window is rateWindow if it is not set.
	window        time.Duration
	began         time.Time
	before, since int
}

func (r *rate) length() time.Duration { return cmp.Or(r.window, rateWindow) }

func (r *rate) count(now time.Time) {
	r.roll(now)
	r.since++
}

func (r *rate) roll(now time.Time) {
	switch half := r.length() / 2; {
	case r.began.IsZero() || now.Sub(r.began) > 2*half:
		r.began, r.before, r.since = now, 0, 0
	case now.Sub(r.began) > half:
		r.began, r.before, r.since = r.began.Add(half), r.since, 0
	}
}

// perSecond returns the rate; 0 if it was not counted for long enough.
func (r *rate) perSecond() float64 {
	return float64(r.events()) / r.length().Seconds()
}

// events returns how many there were in the window.
func (r *rate) events() int { return r.before + r.since }

// expectedWait is how long a request that joins the queue now waits, by the measured throughput; 0 if none is known, so
// that nothing is refused on a guess.
//
// Measured over a time in which the pool was closed the throughput is next to nothing, and requests would be refused beside
// free slots. It is not known until the window has passed that time.
func (p *Pool) expectedWait(now time.Time) time.Duration {
	perSecond := p.drained.perSecond()
	if perSecond == 0 || p.closed || now.Sub(p.openedAt) < rateWindow {
		return 0
	}
	return time.Duration(float64(len(p.waiting)) / perSecond * float64(time.Second))
}

// closedRetry is what callers are told whose group is broken: a rank that crashed is back within seconds, and callers
// honour a third of the time that they have left.
const closedRetry = 2200 * time.Millisecond

// lostAfter is how long a group may be closed before requests no longer wait for it: twice what a rank that crashed needs
// to be back.
const lostAfter = 8 * time.Second

// lost reports whether the group has been closed for so long that nobody can say when it works again.
//
// With so many ranks gone that the group cannot form, requests are refused at once, so that callers can do something else.
func (p *Pool) lost(now time.Time) bool { return p.closed && now.Sub(p.closedAt) > lostAfter }

// retryAfter spreads the callers that are refused over the time in which the queue drains, so that they do not come
// back together.
func (p *Pool) retryAfter(wait time.Duration) time.Duration {
	if p.closed {
		return closedRetry
	}
	base := float64(max(minRetry, min(maxRetry, wait)))
	spread := 1 + retrySpread*p.rng.Float64()
	return time.Duration(min(base, float64(maxRetry)/(1+retrySpread)) * spread)
}

// retrySpread is the part of the wait by which callers may come back later than the queue is expected to be drained.
const retrySpread = 0.5

const (
	// firstGuess stands for the time to the first answer before any was measured.
	firstGuess = 200 * time.Millisecond
	// firstWeight is that of a new measurement in the mean.
	firstWeight = 0.1
	// firstMargin is the part of the mean time to the first answer that a request needs to be worth starting: callers
	// leave if it comes later.
	firstMargin = 1.5
)

// noteFirst takes in how long a placed request waited for its first answer.
func (p *Pool) noteFirst(d time.Duration) {
	if p.first == 0 {
		p.first = firstGuess
	}
	p.first += time.Duration(firstWeight * float64(d-p.first))
}

// late reports whether a request that is started now would be answered after its target.
//
// Started just before their targets, requests are all answered just after them, and others that had time become late behind
// them. So the time to the first answer is taken off.
func (p *Pool) late(r Request, now time.Time) bool {
	if p.opts.Off[FirstAnswerTime] {
		return now.After(r.Aim)
	}
	return now.Add(min(p.first, r.Aim.Sub(r.Arrived)/2)).After(r.Aim)
}

// startBy is until when the request is worth starting.
func (p *Pool) startBy(r Request) time.Time {
	first := p.first
	if first == 0 {
		first = firstGuess
	}
	return r.Latest.Add(-time.Duration(firstMargin * float64(first)))
}
