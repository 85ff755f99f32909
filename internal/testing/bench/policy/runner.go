package policy

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// The model of a runner: a continuous batch whose step takes longer with each request and with each prompt token that
// it computes, and an LRU cache of prompt blocks.
const (
	batchSize      = 32
	stepBase       = 6 * time.Millisecond
	stepPerRequest = 100 * time.Microsecond
	stepPerToken   = 20 * time.Microsecond
	chunkTokens    = 512
	cacheBlocks    = 512
	slowdownFactor = 2.5
	priorities     = 2
)

// job is one attempt at a runner.
type job struct {
	entry           int
	priority        int
	blocks          []uint64
	prompt          int
	output          int
	resumeFrom      int
	arrivalSeq      uint64
	remainingPrompt int // Tokens still to compute before the next output token, those of a resumed response included.
	generated       int // Output tokens, those generated before a resume included.
	finished        bool
	onToken         func(cached int)
	onEnd           func()
	onFailure       func()
	cached          int
}

// runner models one upstream.
type runner struct {
	id              ids.Upstream
	dc              int
	clock           *clock
	slowdown        float64
	fails           func() bool
	waiting         []*job
	batch           []*job
	stepping        bool
	steps           uint64
	arrivals        uint64
	cache           *lru
	stepTime        time.Duration
	promptTokenTime time.Duration
}

func newRunner(c *clock, id ids.Upstream, dc int) *runner {
	return &runner{id: id, dc: dc, clock: c, slowdown: 1, cache: newLRU(cacheBlocks), promptTokenTime: stepPerToken}
}

func (r *runner) submit(j *job) {
	r.arrivals++
	j.arrivalSeq = r.arrivals
	j.generated = j.resumeFrom
	i, _ := slices.BinarySearchFunc(r.waiting, j, func(a, b *job) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrivalSeq) - int(b.arrivalSeq)
	})
	r.waiting = slices.Insert(r.waiting, i, j)
	r.step()
}

// cancel removes a job from the queue and from the batch.
func (r *runner) cancel(j *job) {
	j.finished = true
	r.waiting = slices.DeleteFunc(r.waiting, func(o *job) bool { return o == j })
	r.batch = slices.DeleteFunc(r.batch, func(o *job) bool { return o == j })
}

// step starts a step if none is running and there is work.
func (r *runner) step() {
	if r.stepping {
		return
	}
	r.fillBatch()
	if len(r.batch) == 0 {
		return
	}
	r.stepping = true
	tokens, computing := r.computePrompts()
	decoding := len(r.batch) - computing
	d := time.Duration(r.slowdown * float64(stepBase+time.Duration(decoding)*stepPerRequest+time.Duration(tokens)*stepPerToken))
	r.observe(d, tokens)
	r.clock.after(d, r.endStep)
}

// Weights of a new sample in the moving averages of observe.
const (
	stepTimeWeight        = 0.1
	promptTokenTimeWeight = 0.02
)

// observe models the measurements of the runner's slot: the time per step, and the time per prompt token in steps that
// compute many.
func (r *runner) observe(d time.Duration, tokens int) {
	r.stepTime += time.Duration(stepTimeWeight * float64(d-r.stepTime))
	if tokens >= chunkTokens/2 {
		r.promptTokenTime += time.Duration(promptTokenTimeWeight * float64(d/time.Duration(tokens)-r.promptTokenTime))
	}
}

func (r *runner) fillBatch() {
	for len(r.batch) < batchSize && len(r.waiting) > 0 {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		j.cached = min(j.prompt, r.cache.touch(j.blocks)*blockTokens)
		j.remainingPrompt = max(1, j.prompt-j.cached+j.resumeFrom)
		r.batch = append(r.batch, j)
	}
}

// computePrompts assigns the prompt tokens of this step to the jobs, those of the first class first. It returns the
// number of tokens and the number of jobs that have not generated a token in this attempt.
func (r *runner) computePrompts() (tokens, computing int) {
	budget := chunkTokens
	for priority := range priorities {
		for _, j := range r.batch {
			if j.remainingPrompt == 0 || j.priority != priority {
				continue
			}
			n := min(budget, j.remainingPrompt)
			j.remainingPrompt -= n
			budget -= n
		}
	}
	for _, j := range r.batch {
		if j.generated == j.resumeFrom {
			computing++
		}
	}
	return chunkTokens - budget, computing
}

func (r *runner) endStep() {
	r.stepping = false
	r.steps++
	for _, j := range slices.Clone(r.batch) {
		if j.remainingPrompt > 0 || j.finished {
			continue
		}
		r.generateToken(j)
	}
	r.batch = slices.DeleteFunc(r.batch, func(j *job) bool { return j.finished })
	r.step()
}

func (r *runner) generateToken(j *job) {
	if j.generated == j.resumeFrom {
		r.cache.store(j.blocks)
	}
	if r.fails != nil && r.fails() {
		j.finished = true
		j.onFailure()
		return
	}
	j.generated++
	j.onToken(j.cached)
	if j.generated >= j.output && !j.finished {
		j.finished = true
		j.onEnd()
	}
}

// allEntries makes counts return the work of all entries.
const allEntries = -1

// counts returns the slot's view of the work of one entry, or of allEntries. The slot cannot know the length of a
// response and assumes the mean.
func (r *runner) counts(entry int) routing.Counts {
	var c routing.Counts
	for _, j := range r.waiting {
		if entry < 0 || j.entry == entry {
			addWaiting(&c, j.priority, max(0, j.prompt-r.cache.peek(j.blocks)*blockTokens))
			c.OutputTokens += outputMean
		}
	}
	for _, j := range r.batch {
		if entry >= 0 && j.entry != entry {
			continue
		}
		if j.generated == j.resumeFrom {
			addWaiting(&c, j.priority, j.remainingPrompt)
		} else {
			c.Running++
		}
		c.OutputTokens += max(1, outputMean-j.generated)
	}
	return c
}

func addWaiting(c *routing.Counts, priority, tokens int) {
	c.Waiting++
	c.PromptTokens += tokens
	if priority == 0 {
		c.FirstWaiting++
		c.FirstPromptTokens += tokens
	}
}
