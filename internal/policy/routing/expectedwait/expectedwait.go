// Package expectedwait sends each request to the upstream with the least expected time to its first token.
//
// The time is the sum of the way there and back, the wait for a place in the batch, the prompts that are ahead, and
// the request's own prompt less what the upstream has cached. Affinity to a cached prefix is therefore no rule of its
// own: it is a saving that is weighed against the wait, and it is given up as soon as the wait is longer.
//
// Waits that differ by less than their uncertainty count as equal; among those, the upstream with the fewest requests
// of this entry is taken. Without this, several entries that see the same lagging reports send their requests to the
// same upstream at the same time.
package expectedwait

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// Options are the policy's settings.
type Options struct {
	// StepTime and PromptTokenTime stand in while no upstream has reported.
	StepTime, PromptTokenTime time.Duration
	// AdapterLoad is what it costs to send a request where its adapter is not loaded.
	AdapterLoad time.Duration
	// Band and BandLeast say which waits count as equal: those up to this fraction, or this much, above the least.
	Band      float64
	BandLeast time.Duration
	// Fade is for how long a report of the others' prompts is believed, in multiples of the time that their usual
	// prompts take. FadeLeast is added to it.
	Fade      float64
	FadeLeast time.Duration
	// Outlier is how many times the median a reported step time or prompt token time must be to be believed. Smaller
	// differences come from what happened to be in the batch, and following them makes entries move together.
	Outlier float64
}

// Defaults returns the settings in use; docs/measurements.md has the figures behind them.
func Defaults() Options {
	return Options{
		StepTime:        10 * time.Millisecond,
		PromptTokenTime: 30 * time.Microsecond,
		AdapterLoad:     200 * time.Millisecond,
		Band:            0.3,
		BandLeast:       50 * time.Millisecond,
		Fade:            20,
		FadeLeast:       20 * time.Millisecond,
		Outlier:         1.5,
	}
}

// Picker implements routing.Picker.
type Picker struct {
	upstreams []*routing.Upstream
	opts      Options
	// usual and usualFirst are the means, over the upstreams, of the prompt tokens that other entries have waiting at
	// one: all of them, and those of the first class.
	usual, usualFirst float64
	// stepTime and promptTokenTime are the medians of what upstreams reported.
	stepTime, promptTokenTime time.Duration
}

// New returns a picker.
func New(upstreams []*routing.Upstream, opts Options) *Picker {
	p := &Picker{upstreams: upstreams, opts: opts}
	for _, u := range upstreams {
		others := u.Load.Others()
		p.usual += float64(others.PromptTokens) / float64(len(upstreams))
		p.usualFirst += float64(others.FirstPromptTokens) / float64(len(upstreams))
	}
	p.stepTime = median(upstreams, opts.StepTime, func(l routing.Load) time.Duration { return l.StepTime })
	p.promptTokenTime = median(upstreams, opts.PromptTokenTime, func(l routing.Load) time.Duration { return l.PromptTokenTime })
	return p
}

// median returns the median of what the upstreams reported, or fallback if none did.
func median(upstreams []*routing.Upstream, fallback time.Duration, get func(routing.Load) time.Duration) time.Duration {
	var times []time.Duration
	for _, u := range upstreams {
		if t := get(u.Load); t > 0 {
			times = append(times, t)
		}
	}
	if len(times) == 0 {
		return fallback
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// fewUpstreams is how many upstreams a pick handles without allocating.
const fewUpstreams = 64

// Pick implements routing.Picker.
func (p *Picker) Pick(req *routing.Request, now time.Time) (routing.Choice, error) {
	var buf [fewUpstreams]*routing.Upstream
	usable, err := routing.Usable(p.upstreams, req, buf[:0])
	if err != nil {
		return routing.Choice{}, err
	}
	var waits [fewUpstreams]routing.Choice
	choices := waits[:0]
	least := time.Duration(math.MaxInt64)
	for _, u := range usable {
		c := p.expect(u, req, now)
		choices = append(choices, c)
		least = min(least, c.Wait)
	}
	return p.fewest(choices, least, req.Rand), nil
}

// fewest returns, of the choices whose wait counts as equal to the least, the one with the fewest requests of this
// entry in flight; ties are broken at random.
func (p *Picker) fewest(choices []routing.Choice, least time.Duration, rand uint64) routing.Choice {
	limit := least + max(p.opts.BandLeast, time.Duration(p.opts.Band*float64(least)))
	offset := int(rand % uint64(len(choices)))
	var best routing.Choice
	fewest := math.MaxInt
	for i := range choices {
		c := choices[(offset+i)%len(choices)]
		if c.Wait > limit {
			continue
		}
		if n := c.Upstream.Work.Counts().Requests(); n < fewest {
			best, fewest = c, n
		}
	}
	return best
}

// expect returns the choice of u with its expected time to the first token.
func (p *Picker) expect(u *routing.Upstream, req *routing.Request, now time.Time) routing.Choice {
	load := u.Now()
	cached := min(req.PromptTokens, u.Cached.Match(req.Blocks)*req.BlockTokens)
	ahead := p.promptAhead(u, req.First, now)
	perToken := p.believed(u.Load.PromptTokenTime, p.promptTokenTime)
	wait := 2*u.Distance + p.believed(u.Load.StepTime, p.stepTime)
	wait += p.placeWait(u, load, req.First)
	wait += time.Duration((ahead + float64(req.PromptTokens-cached)) * float64(perToken))
	if !u.HasAdapter(req.Adapter) {
		wait += p.opts.AdapterLoad
	}
	return routing.Choice{Upstream: u, Wait: wait, Ahead: load.PromptAhead(req.First), Estimate: req.Estimate(cached)}
}

// promptAhead returns the prompt tokens that are computed before those of a new request: this entry's own, exactly,
// and the others' as reported, drawn towards what is usual by the age of the report. What waited when an old report
// was taken has been computed since; believed as it is, it would steer around a wait that is over.
func (p *Picker) promptAhead(u *routing.Upstream, first bool, now time.Time) float64 {
	own := u.Work.Counts().PromptAhead(first)
	reported := float64(u.Load.Others().PromptAhead(first))
	usual := p.usual
	if first {
		usual = p.usualFirst
	}
	fade := p.opts.FadeLeast.Seconds() + p.opts.Fade*usual*p.promptTokenTime.Seconds()
	trust := math.Exp(-now.Sub(u.Load.TakenAt).Seconds() / fade)
	return float64(own) + usual + min(1, trust)*(reported-usual)
}

// placeWait is the time until the batch has a place: as many requests must end as there are too many. They end either
// at the pace of their remaining tokens' steps or at that of the prompts, whichever is slower.
func (p *Picker) placeWait(u *routing.Upstream, load routing.Counts, first bool) time.Duration {
	n := load.WaitingAhead(first) + load.Running
	if n < u.Batch || n == 0 {
		return 0
	}
	ends := float64(n - u.Batch + 1)
	remaining := float64(load.OutputTokens) / float64(load.Requests())
	byOutput := ends / float64(max(1, u.Batch)) * remaining * float64(p.believed(u.Load.StepTime, p.stepTime))
	prompt := float64(load.PromptTokens) / float64(max(1, load.Waiting))
	byPrompt := ends * prompt * float64(p.believed(u.Load.PromptTokenTime, p.promptTokenTime))
	return time.Duration(max(byOutput, byPrompt))
}

// believed returns a reported time if it is far above the median, else the median.
func (p *Picker) believed(reported, median time.Duration) time.Duration {
	if float64(reported) > p.opts.Outlier*float64(median) {
		return reported
	}
	return median
}
