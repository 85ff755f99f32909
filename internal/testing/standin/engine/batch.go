package engine

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
)

// Options shape the engine.
type Options struct {
	// Batch is how many requests run at once.
	Batch int
	// Step is the time of one step, in which each running request gets a token.
	Step time.Duration
	// PromptToken is the time that one prompt token costs that is not cached.
	PromptToken time.Duration
	// CacheBlocks is how many prompt blocks the prefix cache holds.
	CacheBlocks int
	// CacheLag is how late cache events are published; CacheGap drops one event in so many (0: none).
	CacheLag time.Duration
	CacheGap int
	// LoadLag is how old a load report is.
	LoadLag time.Duration
	// HonourFence refuses an order whose fencing number is lower than one before; without it the engine obeys all.
	HonourFence bool
	// Crash is a text in a prompt that takes the engine down; OnCrash is how it goes down.
	Crash   string
	OnCrash func()
}

// sequence is one request in the engine.
type sequence struct {
	rank   int
	order  uint64
	blocks []uint64
	prompt int
	next   int
	total  int
	// tokens gets the index of each token as it is made; it is closed when the sequence leaves the engine.
	tokens chan int
	gone   bool
}

// waiting is a heap by rank, then by order of arrival.
type waiting []*sequence

func (w waiting) Len() int { return len(w) }
func (w waiting) Less(i, j int) bool {
	if w[i].rank != w[j].rank {
		return w[i].rank < w[j].rank
	}
	return w[i].order < w[j].order
}
func (w waiting) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *waiting) Push(x any) { *w = append(*w, x.(*sequence)) }

// Pop implements heap.Interface.
func (w *waiting) Pop() any {
	old := *w
	s := old[len(old)-1]
	*w = old[:len(old)-1]
	return s
}

// batch runs sequences step by step.
type batch struct {
	mu      sync.Mutex
	opts    Options
	waiting waiting
	running []*sequence
	cache   *prefix.BlockSet
	order   uint64
	steps   uint64
	wake    chan struct{}
}

func newBatch(o Options) *batch {
	return &batch{opts: o, cache: prefix.NewBlockSet(max(1, o.CacheBlocks)), wake: make(chan struct{}, 1)}
}

// add queues a sequence.
func (b *batch) add(s *sequence) {
	b.mu.Lock()
	b.order++
	s.order = b.order
	heap.Push(&b.waiting, s)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancel takes a sequence out; it gets no more tokens.
func (b *batch) cancel(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.gone = true
}

// counts returns the waiting and running requests and the steps so far.
func (b *batch) counts() (waiting, running int, steps uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting), len(b.running), b.steps
}

// fill moves waiting sequences into the batch and returns the prompt tokens that must be computed for them, and the
// blocks that enter the cache.
func (b *batch) fill() (tokens int, stored []uint64) {
	for len(b.running) < b.opts.Batch && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*sequence)
		if s.gone {
			close(s.tokens)
			continue
		}
		hit := b.cache.Match(s.blocks)
		if len(s.blocks) > 0 {
			tokens += s.prompt * (len(s.blocks) - hit) / len(s.blocks)
		} else {
			tokens += s.prompt
		}
		b.cache.Add(s.blocks...)
		stored = append(stored, s.blocks...)
		b.running = append(b.running, s)
	}
	return tokens, stored
}

// step gives each running sequence its next token and drops those that are done or cancelled.
func (b *batch) step() {
	b.steps++
	kept := b.running[:0]
	for _, s := range b.running {
		if s.gone {
			close(s.tokens)
			continue
		}
		s.tokens <- s.next
		s.next++
		if s.next >= s.total {
			close(s.tokens)
			continue
		}
		kept = append(kept, s)
	}
	clear(b.running[len(kept):])
	b.running = kept
}
