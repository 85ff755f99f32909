package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	// passPeriod is the period over which pauses are summarized. Two periods fit into the time in which passes are longer after a
	// shift of demand, so that at least one contains nothing else.
	passPeriod = 250 * time.Millisecond
	// passMemory is how long a summary counts: demand shifts each few seconds, and the next shift may be as large as the largest of
	// the last ones.
	passMemory = 10 * time.Second
	// minPassSamples is the minimum number of pauses in a period that counts.
	minPassSamples = 4
	// maxPassSamples bounds the pauses that are kept of a period.
	maxPassSamples = 64
	// minPassFill is the minimum number of requests that a rank may run by the pass time, as a fraction of the slots. 0.8 left passes
	// too long where a shift makes them 2.2 times as long. passStep is the step, in requests, in which that number is found.
	minPassFill = 0.65
	passStep    = 0.25
	// passSpread is how many standard deviations the rank with the most requests is above the others, because the gateways do not
	// know each other's latest placements. Without it, that rank runs more than the limit and makes all passes too long.
	passSpread = 2.4
	// urgentMargin is the fraction of the slots by which the limit of the most urgent class is higher than that of the others.
	urgentMargin = 0.075
	// maxPassExcess is how many times the target a pass at the minimum of the limit may take to count. The margins lower the limit
	// further, which brings slightly longer passes within the target.
	maxPassExcess = 1.1
	// leastFill bounds the limit after all margins, as a fraction of the slots.
	leastFill = 0.4
)

// passTime estimates how much longer passes take than the engine's model says, from the pauses of this gateway's streams.
type passTime struct {
	periodStart time.Time
	// samples are the ratios of measured to modelled pass times in the present period.
	samples []float64
	// peaks are the medians of earlier periods.
	peaks []passPeak
}

type passPeak struct {
	at    time.Time
	ratio float64
}

// observe adds a pause and the modelled duration of a pass at that time.
func (t *passTime) observe(pause, modelled time.Duration, now time.Time) {
	if now.Sub(t.periodStart) >= passPeriod {
		t.endPeriod(now)
	}
	if modelled > 0 && len(t.samples) < maxPassSamples {
		t.samples = append(t.samples, float64(pause)/float64(modelled))
	}
}

// endPeriod keeps the median of the period. The median ignores a single long pass, as when a group is held.
func (t *passTime) endPeriod(now time.Time) {
	t.peaks = slices.DeleteFunc(t.peaks, func(k passPeak) bool { return now.Sub(k.at) > passMemory })
	if len(t.samples) >= minPassSamples {
		slices.Sort(t.samples)
		t.peaks = append(t.peaks, passPeak{now, t.samples[(len(t.samples)-1)/2]})
	}
	t.samples = t.samples[:0]
	t.periodStart = now
}

// ratio returns the largest ratio lately of those that are at most limit; 0 if none was measured.
func (t *passTime) ratio(limit float64, now time.Time) float64 {
	largest := 0.0
	for _, k := range t.peaks {
		if now.Sub(k.at) <= passMemory && k.ratio <= limit {
			largest = max(largest, k.ratio)
		}
	}
	return largest
}

// reset discards the present period, in which the group was broken.
func (t *passTime) reset(now time.Time) {
	t.samples = t.samples[:0]
	t.periodStart = now
}

// RecordPause records a pause between two events of a placed stream.
func (p *Pool) RecordPause(t *Ticket, pause time.Duration, now time.Time) {
	if !p.classed() || p.opts.Engine == nil || t.assigned == nil {
		return
	}
	if p.closed || pause > now.Sub(p.openedAt) {
		p.classes.pass.reset(now)
		return
	}
	p.classes.pass.observe(pause, modelledPass(p.opts.Engine, p.running(now)), now)
}

// running returns the number of requests at a rank by which the pass time is modelled. All ranks of a group wait for the slowest
// one, but the experts' share of the work is spread over all of them.
func (p *Pool) running(now time.Time) float64 {
	most, sum, n := 0, 0, 0
	for _, u := range p.order {
		if u.usable(now) {
			running := min(u.listed.Slots, u.own.Requests+u.others.Requests)
			most, sum, n = max(most, running), sum+running, n+1
		}
	}
	share := p.expertShare()
	return (1-share)*float64(most) + share*float64(sum)/float64(max(1, n))
}

// expertShare returns the fraction of the work of a request that is spread over all ranks.
func (p *Pool) expertShare() float64 {
	if x := p.opts.Engine.Experts; x != nil {
		return x.Share
	}
	return 0
}

// modelledPass returns the duration of a pass in which a rank runs some requests, by the published model of the engine.
func modelledPass(e *catalog.Engine, requests float64) time.Duration {
	return time.Duration(max(1, e.Stride)) * (e.StepBase + time.Duration(requests*float64(e.StepPerRequest)))
}

// fill returns the maximum number of requests for each slot of an upstream, for a request that is not late.
func (p *Pool) fill(r Request, now time.Time) float64 { return min(p.opts.Fill, p.passFill(r, now)) }

// passFill returns the maximum number of requests for each slot with which passes stay within the pause that callers accept, also
// after a shift of demand such as it has seen lately.
func (p *Pool) passFill(r Request, now time.Time) float64 {
	e := p.opts.Engine
	if !p.classed() || e == nil || p.opts.TargetPause <= 0 || e.StepPerRequest <= 0 || e.Slots <= 0 {
		return math.Inf(1)
	}
	ratio := p.passRatio(now)
	if ratio <= 0 {
		return math.Inf(1)
	}
	slots := float64(e.Slots)
	n := slots
	for n > minPassFill*slots && ratio*float64(modelledPass(e, n)) > float64(p.opts.TargetPause) {
		n -= passStep
	}
	if n == slots {
		return math.Inf(1)
	}
	n = p.limitFor(n, slots, now)
	if !p.mostUrgent(r) {
		n -= urgentMargin * slots
	}
	return max(n/slots, leastFill)
}

// limitFor returns the limit with which the pass time is that of n requests at each rank. The rank with the most requests has more
// than the limit, but does not run more than its slots.
func (p *Pool) limitFor(n, slots float64, now time.Time) float64 {
	share := p.expertShare()
	limit := n - (1-share)*passSpread*math.Sqrt(p.unreportedPerUpstream(now))
	if share > 0 {
		limit = max(limit, (n-(1-share)*slots)/share)
	}
	return limit
}

// passRatio returns the largest ratio of measured to modelled pass times lately. Passes that no limit keeps within the target do not
// count, as those of a group with a very slow rank: with fewer requests they would be late all the same.
func (p *Pool) passRatio(now time.Time) float64 {
	e := p.opts.Engine
	shortest := modelledPass(e, minPassFill*float64(e.Slots))
	if shortest <= 0 {
		return 0
	}
	return p.classes.pass.ratio(maxPassExcess*float64(p.opts.TargetPause)/float64(shortest), now)
}

// unreportedPerUpstream estimates the number of placements of all gateways at an upstream between two reports.
func (p *Pool) unreportedPerUpstream(now time.Time) float64 {
	perSecond := 0.0
	for _, class := range p.opts.Classes {
		perSecond += p.arrivalRate(class, now)
	}
	return perSecond * p.sharing.Interval.Seconds() * float64(p.sharing.Gateways) / float64(max(1, len(p.order)))
}
