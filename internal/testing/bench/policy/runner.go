package policy

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// The model of a runner: a continuous batch whose step takes longer with each request in it and with each prompt
// token computed in it, and a cache of prompt blocks that drops the least recently used.
const (
	batchPlaces  = 32
	stepBase     = 6 * time.Millisecond
	stepPerSeq   = 100 * time.Microsecond
	stepPerToken = 20 * time.Microsecond
	chunkTokens  = 512
	cacheBlocks  = 512
	slowFactor   = 2.5
	ranks        = 2
)

// job is one attempt at a runner.
type job struct {
	entry    int
	rank     int
	blocks   []uint64
	prompt   int
	output   int
	from     int
	arrived  uint64
	left     int // Prompt tokens still to compute.
	done     int // Tokens generated, those before a resume included.
	ended    bool
	onToken  func(cached int)
	onEnd    func()
	onBroken func()
	cached   int
}

// runner is the model of one upstream.
type runner struct {
	id       ids.Upstream
	dc       int
	clock    *clock
	slow     float64
	fails    func() bool
	waiting  []*job
	batch    []*job
	stepping bool
	steps    uint64
	arrivals uint64
	cache    *lru
	stepTime time.Duration
	prefill  time.Duration
}

func newRunner(c *clock, id ids.Upstream, dc int) *runner {
	return &runner{id: id, dc: dc, clock: c, slow: 1, cache: newLRU(cacheBlocks), prefill: stepPerToken}
}

func (r *runner) submit(j *job) {
	r.arrivals++
	j.arrived = r.arrivals
	j.done = j.from
	i, _ := slices.BinarySearchFunc(r.waiting, j, func(a, b *job) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return int(a.arrived) - int(b.arrived)
	})
	r.waiting = slices.Insert(r.waiting, i, j)
	r.step()
}

// cancel takes a job out, wherever it is.
func (r *runner) cancel(j *job) {
	j.ended = true
	r.waiting = slices.DeleteFunc(r.waiting, func(o *job) bool { return o == j })
	r.batch = slices.DeleteFunc(r.batch, func(o *job) bool { return o == j })
}

// step begins a step if none is under way and there is work.
func (r *runner) step() {
	if r.stepping {
		return
	}
	r.fill()
	if len(r.batch) == 0 {
		return
	}
	r.stepping = true
	tokens, computing := r.chunk()
	decoding := len(r.batch) - computing
	d := time.Duration(r.slow * float64(stepBase+time.Duration(decoding)*stepPerSeq+time.Duration(tokens)*stepPerToken))
	r.observe(d, tokens)
	r.clock.after(d, r.endStep)
}

const (
	observeWeight = 0.1
	prefillWeight = 0.02
)

// observe is what the slot beside the runner measures: time per step, and per prompt token in steps that compute many.
func (r *runner) observe(d time.Duration, tokens int) {
	r.stepTime += time.Duration(observeWeight * float64(d-r.stepTime))
	if tokens >= chunkTokens/2 {
		r.prefill += time.Duration(prefillWeight * float64(d/time.Duration(tokens)-r.prefill))
	}
}

func (r *runner) fill() {
	for len(r.batch) < batchPlaces && len(r.waiting) > 0 {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		j.cached = min(j.prompt, r.cache.touch(j.blocks)*blockTokens)
		j.left = max(1, j.prompt-j.cached+j.from)
		r.batch = append(r.batch, j)
	}
}

// chunk computes prompt tokens of this step, first class first; it returns their number and that of the jobs that were
// still computing when it began.
func (r *runner) chunk() (tokens, computing int) {
	budget := chunkTokens
	for rank := range ranks {
		for _, j := range r.batch {
			if j.left == 0 || j.rank != rank {
				continue
			}
			n := min(budget, j.left)
			j.left -= n
			budget -= n
		}
	}
	for _, j := range r.batch {
		if j.done == j.from {
			computing++
		}
	}
	return chunkTokens - budget, computing
}

func (r *runner) endStep() {
	r.stepping = false
	r.steps++
	for _, j := range slices.Clone(r.batch) {
		if j.left > 0 || j.ended {
			continue
		}
		r.generate(j)
	}
	r.batch = slices.DeleteFunc(r.batch, func(j *job) bool { return j.ended })
	r.step()
}

func (r *runner) generate(j *job) {
	if j.done == j.from {
		r.cache.store(j.blocks)
	}
	if r.fails != nil && r.fails() {
		j.ended = true
		j.onBroken()
		return
	}
	j.done++
	j.onToken(j.cached)
	if j.done >= j.output && !j.ended {
		j.ended = true
		j.onEnd()
	}
}

// everyEntry asks counts for the work of all entries.
const everyEntry = -1

// counts returns what the slot beside the runner knows of the work of one entry, or of everyEntry. It cannot know
// how long an answer will be; it expects the mean.
func (r *runner) counts(entry int) routing.Counts {
	var c routing.Counts
	for _, j := range r.waiting {
		if entry < 0 || j.entry == entry {
			addWaiting(&c, j.rank, max(0, j.prompt-r.cache.peek(j.blocks)*blockTokens))
			c.OutputTokens += outputMean
		}
	}
	for _, j := range r.batch {
		if entry >= 0 && j.entry != entry {
			continue
		}
		if j.done == j.from {
			addWaiting(&c, j.rank, j.left)
		} else {
			c.Running++
		}
		c.OutputTokens += max(1, outputMean-j.done)
	}
	return c
}

func addWaiting(c *routing.Counts, rank, tokens int) {
	c.Waiting++
	c.PromptTokens += tokens
	if rank == 0 {
		c.FirstWaiting++
		c.FirstPromptTokens += tokens
	}
}
