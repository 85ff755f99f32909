package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// rateMeter measures work per second over a sliding window, from the current and the previous period of window length.
type rateMeter struct {
	window            time.Duration
	currentStart      time.Time
	current, previous float64
}

func (m *rateMeter) add(tokens float64, now time.Time) {
	m.rotate(now)
	m.current += tokens
}

func (m *rateMeter) rotate(now time.Time) {
	switch age := now.Sub(m.currentStart); {
	case age < m.window:
	case age < 2*m.window:
		m.previous, m.current, m.currentStart = m.current, 0, m.currentStart.Add(m.window)
	default:
		m.previous, m.current, m.currentStart = 0, 0, now
	}
}

// perSecond returns the rate. The previous period is weighted by the fraction of it that is still inside the sliding
// window.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.rotate(now)
	elapsed := float64(now.Sub(m.currentStart)) / float64(m.window)
	return (m.current + m.previous*(1-elapsed)) / m.window.Seconds()
}

// refusal returns why a request is refused on arrival, or nil.
func (q *Queue) refusal(c *classQueue, it *item, now time.Time) error {
	if it.req.Deadline.Sub(now) < it.req.Run {
		return failure.New(failure.CodeDeadlineUnmet, nil)
	}
	if c.waiting == 0 && len(q.started) < q.concurrency(slices.Index(q.classes, c), now) {
		return nil
	}
	s := q.schedule(c, now)
	wait := time.Duration(0)
	if f := c.flows[it.req.Client]; f != nil {
		wait = q.wait(s, f, f.backlog, now)
	}
	if excess := wait - q.opts.MaxWait; q.opts.MaxWait > 0 && excess > 0 {
		return failure.New(failure.CodeOverloaded, nil).WithRetryAfter(atLeastSecond(excess))
	}
	if late := lateBy(it, wait, now); late > 0 {
		return failure.New(failure.CodeDeadlineUnmet, nil).WithRetryAfter(atLeastSecond(late))
	}
	return nil
}

// refuseLate refuses the waiting requests of a class that can no longer be done in time.
func (q *Queue) refuseLate(c *classQueue, now time.Time) []Outcome {
	if c.waiting == 0 {
		return nil
	}
	s := q.schedule(c, now)
	var outcomes []Outcome
	for _, f := range slices.Clone(c.backlog) {
		ahead := 0.0
		for _, it := range slices.Clone(f.items) {
			late := lateBy(it, q.wait(s, f, ahead, now), now)
			if late <= 0 {
				ahead += it.req.Tokens
				continue
			}
			c.remove(it.req.ID)
			err := failure.New(failure.CodeDeadlineUnmet, nil).WithRetryAfter(atLeastSecond(late))
			outcomes = append(outcomes, Outcome{it.req, err})
		}
	}
	return outcomes
}

// wait returns the expected time until a request is started that is queued behind ahead tokens of the same client. The
// schedule is too optimistic while other clients keep sending, so a client with a long-standing backlog waits at least
// as long as the rate at which it was actually served implies.
func (q *Queue) wait(s schedule, f *flow, ahead float64, now time.Time) time.Duration {
	wait := s.wait(ahead, f.share)
	if f.index < 0 || now.Sub(f.backloggedSince) < q.opts.RateWindow {
		return wait
	}
	servedRate := max(minRate, f.rate.perSecond(now))
	return max(wait, time.Duration(ahead/servedRate*float64(time.Second)))
}

func lateBy(it *item, wait time.Duration, now time.Time) time.Duration {
	return now.Add(wait + it.req.Run).Sub(it.req.Deadline)
}

// atLeastSecond rounds up to whole seconds, the resolution of a Retry-After header, and to at least one second.
func atLeastSecond(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}

// schedule predicts when the waiting work of a class is started if nothing new arrives. Fair queueing serves the
// clients in proportion to their shares. So when v tokens per unit of share have been started for one client, the same
// has been started for each other client, or its complete backlog if that is less.
type schedule struct {
	rate float64
	// levels holds the backlogs per unit of share in ascending order. For each level, cumulative is the sum of the
	// backlogs up to it and shares the sum of the shares above it.
	levels, cumulative, shares []float64
}

func (q *Queue) schedule(c *classQueue, now time.Time) schedule {
	flows := slices.SortedFunc(slices.Values(c.backlog), func(a, b *flow) int {
		return cmp.Compare(a.backlog/a.share, b.backlog/b.share)
	})
	s := schedule{rate: q.rateFor(c, now)}
	total := 0.0
	for _, f := range flows {
		total += f.share
	}
	cumulative := 0.0
	for _, f := range flows {
		cumulative += f.backlog
		total -= f.share
		s.levels = append(s.levels, f.backlog/f.share)
		s.cumulative = append(s.cumulative, cumulative)
		s.shares = append(s.shares, total)
	}
	return s
}

// wait returns the time until a request is started that is queued behind ahead tokens of the same client; share is the
// client's share.
func (s schedule) wait(ahead, share float64) time.Duration {
	v := ahead / share
	i, _ := slices.BinarySearch(s.levels, v)
	var work float64
	switch {
	case i == 0 && len(s.levels) > 0:
		work = v * (s.shares[0] + s.cumulative[0]/s.levels[0])
	case i == 0:
		work = ahead
	default:
		work = s.cumulative[i-1] + v*s.shares[i-1]
	}
	return time.Duration(work / s.rate * float64(time.Second))
}

// minRate keeps estimates finite when nothing was served for a while.
const minRate = 1

// rateFor returns the work per second that remains for a class after the classes that are served before it.
func (q *Queue) rateFor(c *classQueue, now time.Time) float64 {
	rate := q.capacity.TokensPerSecond
	if !q.busySince.IsZero() && now.Sub(q.busySince) >= q.opts.RateWindow {
		rate = q.rate.perSecond(now)
	}
	for _, before := range q.classes {
		if before == c {
			break
		}
		rate -= before.rate.perSecond(now)
	}
	return max(minRate, rate)
}
