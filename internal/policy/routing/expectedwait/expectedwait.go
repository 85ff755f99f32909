// Package expectedwait sends each request to the upstream with the shortest expected time to the first token.
//
// That time is the sum of the network round trip, the wait for a free slot in the batch, the prefill of the prompts
// ahead of the request, and that of the request's own prompt except for the cached tokens. Affinity to a cached prefix
// is therefore not a separate rule: it is a saving that is weighed against the wait and no longer counts once the wait
// is longer.
//
// Waits that differ by less than their uncertainty count as equal; among those, the upstream with the fewest requests
// of this entry is chosen. Otherwise several entries with the same outdated reports would send their requests to the
// same upstream at the same time.
package expectedwait

import (
	"math"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// Options configures the policy.
type Options struct {
	// StepTime and PromptTokenTime are used until an upstream has reported.
	StepTime, PromptTokenTime time.Duration
	// AdapterLoad is the expected time to load an adapter on an upstream that does not have it.
	AdapterLoad time.Duration
	// Band and MinBand define which waits count as equal to the shortest one: those that exceed it by up to this
	// fraction or this time, whichever is more.
	Band    float64
	MinBand time.Duration
	// Fade defines how fast a report of other entries' prompts loses its weight: the time constant is FadeBase plus
	// Fade times the mean prefill time, per upstream, of the prompts that other entries have waiting.
	Fade     float64
	FadeBase time.Duration
	// Outlier is the factor by which a reported step time or prompt token time must exceed the median to be used.
	// Smaller differences result from the requests that happened to be in the batch, and all entries that used them
	// would choose the same upstreams at the same time.
	Outlier float64
}

// Defaults returns the production options; docs/measurements.md has the figures behind them.
func Defaults() Options {
	return Options{
		StepTime:        10 * time.Millisecond,
		PromptTokenTime: 30 * time.Microsecond,
		AdapterLoad:     200 * time.Millisecond,
		Band:            0.3,
		MinBand:         50 * time.Millisecond,
		Fade:            20,
		FadeBase:        20 * time.Millisecond,
		Outlier:         1.5,
	}
}

// Picker implements routing.Picker.
type Picker struct {
	upstreams []*routing.Upstream
	opts      Options
	// meanOthers and meanOthersFirst are the mean prompt tokens per upstream that other entries have waiting: of all
	// requests and of those of the first class.
	meanOthers, meanOthersFirst float64
	// stepTime and promptTokenTime are the medians of the reported times.
	stepTime, promptTokenTime time.Duration
}

// New returns a picker.
func New(upstreams []*routing.Upstream, opts Options) *Picker {
	p := &Picker{upstreams: upstreams, opts: opts}
	for _, u := range upstreams {
		others := u.Load.Others()
		p.meanOthers += float64(others.PromptTokens) / float64(len(upstreams))
		p.meanOthersFirst += float64(others.FirstPromptTokens) / float64(len(upstreams))
	}
	p.stepTime = median(upstreams, opts.StepTime, func(l routing.Load) time.Duration { return l.StepTime })
	p.promptTokenTime = median(upstreams, opts.PromptTokenTime, func(l routing.Load) time.Duration { return l.PromptTokenTime })
	return p
}

// median returns the median of the reported times, or fallback if no upstream reported any.
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

// bufferedUpstreams is the number of upstreams up to which a pick does not allocate.
const bufferedUpstreams = 64

// Pick implements routing.Picker.
func (p *Picker) Pick(req *routing.Request, now time.Time) (routing.Choice, error) {
	var buf [bufferedUpstreams]*routing.Upstream
	usable, err := routing.Usable(p.upstreams, req, buf[:0])
	if err != nil {
		return routing.Choice{}, err
	}
	var waits [bufferedUpstreams]routing.Choice
	choices := waits[:0]
	least := time.Duration(math.MaxInt64)
	for _, u := range usable {
		c := p.estimate(u, req, now)
		choices = append(choices, c)
		least = min(least, c.Wait)
	}
	return p.fewest(choices, least, req.Rand), nil
}

// fewest returns the choice with the fewest requests of this entry in flight, among those whose wait counts as equal to
// the shortest. Ties are broken at random.
func (p *Picker) fewest(choices []routing.Choice, least time.Duration, rand uint64) routing.Choice {
	limit := least + max(p.opts.MinBand, time.Duration(p.opts.Band*float64(least)))
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

// estimate returns the choice of u with its expected time to the first token.
func (p *Picker) estimate(u *routing.Upstream, req *routing.Request, now time.Time) routing.Choice {
	load := u.CurrentCounts()
	cached := min(req.PromptTokens, u.Cached.Match(req.Blocks)*req.BlockTokens)
	ahead := p.promptAhead(u, req.FirstClass, now)
	perToken := p.effective(u.Load.PromptTokenTime, p.promptTokenTime)
	wait := 2*u.Latency + p.effective(u.Load.StepTime, p.stepTime)
	wait += p.batchWait(u, load, req.FirstClass)
	wait += time.Duration((ahead + float64(req.PromptTokens-cached)) * float64(perToken))
	if !u.HasAdapter(req.Adapter) {
		wait += p.opts.AdapterLoad
	}
	return routing.Choice{Upstream: u, Wait: wait, PromptAhead: load.PromptAhead(req.FirstClass), Estimate: req.Estimate(cached)}
}

// promptAhead returns the prompt tokens whose prefill precedes that of a new request: this entry's own, which are
// exact, and the others' as reported, moved towards the mean with the age of the report. The prefill of the requests
// that waited at the time of an old report has been done since, so a policy that trusted it would avoid an upstream
// whose queue is already empty.
func (p *Picker) promptAhead(u *routing.Upstream, first bool, now time.Time) float64 {
	own := u.Work.Counts().PromptAhead(first)
	reported := float64(u.Load.Others().PromptAhead(first))
	mean := p.meanOthers
	if first {
		mean = p.meanOthersFirst
	}
	fade := p.opts.FadeBase.Seconds() + p.opts.Fade*mean*p.promptTokenTime.Seconds()
	trust := math.Exp(-now.Sub(u.Load.TakenAt).Seconds() / fade)
	return float64(own) + mean + min(1, trust)*(reported-mean)
}

// batchWait returns the time until the batch has a free slot: with n running and waiting requests ahead, until
// n-Batch+1 of them have ended. They end at the rate at which either their remaining tokens are generated or the
// prefill of the prompts is done, whichever is slower.
func (p *Picker) batchWait(u *routing.Upstream, load routing.Counts, first bool) time.Duration {
	n := load.WaitingAhead(first) + load.Running
	if n < u.Batch || n == 0 {
		return 0
	}
	ends := float64(n - u.Batch + 1)
	remaining := float64(load.OutputTokens) / float64(load.Requests())
	byOutput := ends / float64(max(1, u.Batch)) * remaining * float64(p.effective(u.Load.StepTime, p.stepTime))
	prompt := float64(load.PromptTokens) / float64(max(1, load.Waiting))
	byPrompt := ends * prompt * float64(p.effective(u.Load.PromptTokenTime, p.promptTokenTime))
	return time.Duration(max(byOutput, byPrompt))
}

// effective returns a reported time if it is far above the median, else the median.
func (p *Picker) effective(reported, median time.Duration) time.Duration {
	if float64(reported) > p.opts.Outlier*float64(median) {
		return reported
	}
	return median
}
