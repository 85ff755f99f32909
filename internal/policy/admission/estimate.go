package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

// rateMeter measures work per second over a sliding window of two halves.
type rateMeter struct {
	window        time.Duration
	since         time.Time
	current, last float64
}

func (m *rateMeter) add(tokens float64, now time.Time) {
	m.turn(now)
	m.current += tokens
}

func (m *rateMeter) turn(now time.Time) {
	switch age := now.Sub(m.since); {
	case age < m.window:
	case age < 2*m.window:
		m.last, m.current, m.since = m.current, 0, m.since.Add(m.window)
	default:
		m.last, m.current, m.since = 0, 0, now
	}
}

// perSecond returns the rate; the part of the window before the last turn counts as it fades out.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.turn(now)
	done := float64(now.Sub(m.since)) / float64(m.window)
	return (m.current + m.last*(1-done)) / m.window.Seconds()
}

// refusal returns why a request is refused at once, or nil.
func (q *Queue) refusal(c *classQueue, it *item, now time.Time) error {
	if it.req.Deadline.Sub(now) < it.req.Run {
		return failure.New(failure.CodeDeadlineUnmet, nil)
	}
	if c.waiting == 0 && len(q.started) < q.places(slices.Index(q.classes, c), now) {
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

// sweep refuses what waits in a class and can no longer be done in time.
func (q *Queue) sweep(c *classQueue, now time.Time) []Outcome {
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

// wait is the time until a client's work is served that has this much of its own ahead. The schedule is too hopeful
// while the other clients go on sending; a client that has waited for long knows its pace from what it was given.
func (q *Queue) wait(s schedule, f *flow, ahead float64, now time.Time) time.Duration {
	wait := s.wait(ahead, f.share)
	if f.index < 0 || now.Sub(f.since) < q.opts.RateWindow {
		return wait
	}
	pace := max(minRate, f.rate.perSecond(now))
	return max(wait, time.Duration(ahead/pace*float64(time.Second)))
}

func lateBy(it *item, wait time.Duration, now time.Time) time.Duration {
	return now.Add(wait + it.req.Run).Sub(it.req.Deadline)
}

// atLeastSecond rounds up to what a Retry-After header can say.
func atLeastSecond(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}

// schedule foretells when work of a class is served if nothing new arrives: fair queueing serves each client's
// backlog in proportion to its share, so by the time that one client was served v tokens per share, each other one
// was served as much per share or its whole backlog.
type schedule struct {
	rate float64
	// levels are the backlogs per share, ascending; done and shares sum the backlogs up to a level and the shares
	// beyond it.
	levels, done, shares []float64
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
	done := 0.0
	for _, f := range flows {
		done += f.backlog
		total -= f.share
		s.levels = append(s.levels, f.backlog/f.share)
		s.done = append(s.done, done)
		s.shares = append(s.shares, total)
	}
	return s
}

// wait is the time until a client of the given share, with this much of its own work ahead, is served.
func (s schedule) wait(ahead, share float64) time.Duration {
	v := ahead / share
	i, _ := slices.BinarySearch(s.levels, v)
	var work float64
	switch {
	case i == 0 && len(s.levels) > 0:
		work = v * (s.shares[0] + s.done[0]/s.levels[0])
	case i == 0:
		work = ahead
	default:
		work = s.done[i-1] + v*s.shares[i-1]
	}
	return time.Duration(work / s.rate * float64(time.Second))
}

// minRate keeps estimates finite when nothing was served for a while.
const minRate = 1

// rateFor is the work per second that is left to a class by those before it.
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
