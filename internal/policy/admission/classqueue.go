package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// flow is one client's requests of one class that wait, and what the client has had of its share.
type flow struct {
	client ids.Client
	share  float64
	items  []*item
	// backlog is the work that waits, in tokens.
	backlog float64
	// served is the work that the client was given, divided by its share. The flow with the least goes next.
	served float64
	// rate is the work that the client was given per second, and since is when it last began to wait without a pause.
	rate  rateMeter
	since time.Time
	index int
}

// creditRequests is how many requests a client that comes back from being idle may be served ahead of the others. A
// small client often has nothing waiting for a moment; without a credit it would lose its turn each time, and get
// less than its share although it asks for more. With it, it can never be ahead by more than so many requests.
const creditRequests = 4

// classQueue shares the places of one class among clients.
type classQueue struct {
	class   Class
	flows   map[ids.Client]*flow
	backlog flowHeap
	waiting int
	rate    rateMeter
	// level is the least served of the flows that wait, or what it was when the last one emptied.
	level float64
}

func newClassQueue(c Class, window time.Duration) *classQueue {
	return &classQueue{class: c, flows: make(map[ids.Client]*flow), rate: rateMeter{window: window}}
}

func (c *classQueue) push(it *item, share float64) {
	f := c.flows[it.req.Client]
	if f == nil {
		f = &flow{client: it.req.Client, index: -1, rate: rateMeter{window: c.rate.window}}
		c.flows[it.req.Client] = f
	}
	f.share = share
	if len(f.items) == 0 {
		f.since = it.submitted
	}
	f.items = append(f.items, it)
	f.backlog += it.req.Tokens
	c.waiting++
	if f.index < 0 {
		f.served = max(f.served, c.level-creditRequests*it.req.Tokens/share)
		heap.Push(&c.backlog, f)
	}
}

// pop takes the next request of the client that has had least. There must be one.
func (c *classQueue) pop(now time.Time) *item {
	f := c.backlog[0]
	c.level = f.served
	it := f.items[0]
	f.items = f.items[1:]
	f.served += it.req.Tokens / f.share
	f.rate.add(it.req.Tokens, now)
	c.rate.add(it.req.Tokens, now)
	c.taken(f, it)
	return it
}

// longest returns the flow with most work waiting for its share. There must be one.
func (c *classQueue) longest() *flow {
	return slices.MaxFunc(c.backlog, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.backlog/a.share, b.backlog/b.share), cmp.Compare(a.client, b.client))
	})
}

// remove takes out a request that waits, without charging the client.
func (c *classQueue) remove(id uint64) bool {
	for _, f := range c.backlog {
		i := slices.IndexFunc(f.items, func(it *item) bool { return it.req.ID == id })
		if i >= 0 {
			it := f.items[i]
			f.items = slices.Delete(f.items, i, i+1)
			c.taken(f, it)
			return true
		}
	}
	return false
}

func (c *classQueue) taken(f *flow, it *item) {
	c.waiting--
	f.backlog -= it.req.Tokens
	if len(f.items) > 0 {
		heap.Fix(&c.backlog, f.index)
		return
	}
	f.backlog = 0
	heap.Remove(&c.backlog, f.index)
	f.items = nil
}

// forget drops flows that have had nothing waiting for long, so that memory follows the clients that are active and
// not all that ever were. A flow must not be dropped earlier: it would come back with its credit renewed.
func (c *classQueue) forget(now time.Time) {
	for client, f := range c.flows {
		if f.index < 0 && now.Sub(f.since) > idleAfter {
			delete(c.flows, client)
		}
	}
}

// idleAfter is how long a client that sends nothing is remembered for what it had too much.
const idleAfter = time.Minute

// adjust charges a client for work that was estimated wrongly.
func (c *classQueue) adjust(client ids.Client, tokens, share float64) {
	f := c.flows[client]
	if f == nil {
		return
	}
	f.served += tokens / share
	if f.index >= 0 {
		heap.Fix(&c.backlog, f.index)
	}
}

// flowHeap orders flows by what they were served.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].served != h[j].served {
		return h[i].served < h[j].served
	}
	return h[i].client < h[j].client
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	f.index = -1
	*h = old[:len(old)-1]
	return f
}
