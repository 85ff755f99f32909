package engine

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
)

// Options configures an engine.
type Options struct {
	// Batch is the number of requests that run concurrently.
	Batch int
	// Step is the duration of one step, in which each running request gets one token.
	Step time.Duration
	// PromptTokenTime is added to a step for each prompt token of a started request that is not cached.
	PromptTokenTime time.Duration
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// CacheLag is the delay before a cache event is published. Every CacheGap-th event is dropped; 0 drops none.
	CacheLag time.Duration
	CacheGap int
	// LoadLag is the age of the load reports served.
	LoadLag time.Duration
	// HonourFence makes the engine refuse an order whose fencing token is lower than that of an earlier order. Without
	// it the engine applies every order.
	HonourFence bool
	// CrashText in a prompt crashes the engine, which calls OnCrash and does not respond; empty for never.
	CrashText string
	OnCrash   func()
}

// sequence is one request in the engine.
type sequence struct {
	priority     int
	arrival      uint64
	blocks       []uint64
	promptTokens int
	next         int
	total        int
	// tokens receives the index of each token when it is generated; it is closed when the sequence leaves the engine.
	tokens    chan int
	cancelled bool
}

// waiting is a heap ordered by priority, lowest number first, then by arrival.
type waiting []*sequence

func (w waiting) Len() int { return len(w) }
func (w waiting) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
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

// batch runs sequences by continuous batching, one step at a time.
type batch struct {
	mu       sync.Mutex
	opts     Options
	waiting  waiting
	running  []*sequence
	cache    *prefix.BlockSet
	arrivals uint64
	steps    uint64
	wake     chan struct{}
}

func newBatch(o Options) *batch {
	return &batch{opts: o, cache: prefix.NewBlockSet(max(1, o.CacheBlocks)), wake: make(chan struct{}, 1)}
}

// add queues a sequence.
func (b *batch) add(s *sequence) {
	b.mu.Lock()
	b.arrivals++
	s.arrival = b.arrivals
	heap.Push(&b.waiting, s)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancel marks a sequence, which is removed at the next step or before it starts; it gets no more tokens.
func (b *batch) cancel(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.cancelled = true
}

// counts returns the numbers of waiting and running requests and of completed steps.
func (b *batch) counts() (waiting, running int, steps uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting), len(b.running), b.steps
}

// fill moves waiting sequences into the batch. It returns the number of uncached prompt tokens to compute for them and the
// blocks added to the cache. The caller holds mu.
func (b *batch) fill() (tokens int, stored []uint64) {
	for len(b.running) < b.opts.Batch && len(b.waiting) > 0 {
		s := heap.Pop(&b.waiting).(*sequence)
		if s.cancelled {
			close(s.tokens)
			continue
		}
		hit := b.cache.Match(s.blocks)
		if len(s.blocks) > 0 {
			tokens += s.promptTokens * (len(s.blocks) - hit) / len(s.blocks)
		} else {
			tokens += s.promptTokens
		}
		b.cache.Add(s.blocks...)
		stored = append(stored, s.blocks...)
		b.running = append(b.running, s)
	}
	return tokens, stored
}

// step gives each running sequence its next token and removes those that are finished or cancelled. The caller holds mu.
func (b *batch) step() {
	b.steps++
	remaining := b.running[:0]
	for _, s := range b.running {
		if s.cancelled {
			close(s.tokens)
			continue
		}
		s.tokens <- s.next
		s.next++
		if s.next >= s.total {
			close(s.tokens)
			continue
		}
		remaining = append(remaining, s)
	}
	clear(b.running[len(remaining):])
	b.running = remaining
}
