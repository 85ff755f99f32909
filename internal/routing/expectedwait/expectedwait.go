// Package expectedwait sends each request to the upstream with the least expected time to its first token.
//
// The time is the sum of the way there and back, the wait for a place in the batch, the prompts that are ahead, and
// the request's own prompt less what the upstream has cached. Affinity to a cached prefix is therefore no rule of its
// own: it is a saving that is weighed against the wait, and it is given up as soon as the wait is longer.
package expectedwait

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/routing"
)

// Options are the policy's settings.
type Options struct {
	// StepTime and PromptTokenTime stand in for an upstream that has not reported.
	StepTime, PromptTokenTime time.Duration
	// AdapterLoad is what it costs to send a request where its adapter is not loaded.
	AdapterLoad time.Duration
	// Band is how far, as a fraction of the least wait, an upstream may be from the best and still be drawn.
	Band float64
}

// Defaults returns the settings in use.
func Defaults() Options {
	return Options{
		StepTime:        10 * time.Millisecond,
		PromptTokenTime: 20 * time.Microsecond,
		AdapterLoad:     200 * time.Millisecond,
		Band:            0.05,
	}
}

// Picker implements routing.Picker.
type Picker struct {
	upstreams []*routing.Upstream
	opts      Options
}

// New returns a picker.
func New(upstreams []*routing.Upstream, opts Options) *Picker {
	return &Picker{upstreams: upstreams, opts: opts}
}

// Pick implements routing.Picker.
func (p *Picker) Pick(req *routing.Request, now time.Time) (routing.Choice, error) {
	usable, err := routing.Usable(p.upstreams, req, nil)
	if err != nil {
		return routing.Choice{}, err
	}
	offset := int(req.Rand % uint64(len(usable)))
	var best routing.Choice
	for i := range usable {
		c := p.expect(usable[(offset+i)%len(usable)], req)
		if best.Upstream == nil || c.Wait < best.Wait {
			best = c
		}
	}
	return best, nil
}

// expect returns the choice of u with its expected time to the first token.
func (p *Picker) expect(u *routing.Upstream, req *routing.Request) routing.Choice {
	load := u.Now()
	cached := min(req.PromptTokens, u.Cached.Match(req.Blocks)*req.BlockTokens)
	wait := 2 * u.Distance
	wait += p.placeWait(u, load)
	wait += time.Duration(load.PromptTokens+req.PromptTokens-cached) * p.promptTokenTime(u)
	if !u.HasAdapter(req.Adapter) {
		wait += p.opts.AdapterLoad
	}
	return routing.Choice{
		Upstream: u,
		Wait:     wait,
		Estimate: routing.Estimate{PromptTokens: req.PromptTokens, CachedTokens: cached, OutputTokens: req.OutputTokens},
	}
}

// placeWait is the time until the batch has a place: as many requests must end as there are too many, and the mean
// one has half of its remaining tokens' steps to go.
func (p *Picker) placeWait(u *routing.Upstream, load routing.Counts) time.Duration {
	n := load.Requests()
	if n < u.Batch || n == 0 {
		return 0
	}
	perRequest := float64(load.OutputTokens) / float64(n)
	ends := float64(n-u.Batch+1) / float64(max(1, u.Batch))
	return time.Duration(ends * perRequest * float64(p.stepTime(u)))
}

func (p *Picker) stepTime(u *routing.Upstream) time.Duration {
	if u.Load.StepTime > 0 {
		return u.Load.StepTime
	}
	return p.opts.StepTime
}

func (p *Picker) promptTokenTime(u *routing.Upstream) time.Duration {
	if u.Load.PromptTokenTime > 0 {
		return u.Load.PromptTokenTime
	}
	return p.opts.PromptTokenTime
}
