package admission

import (
	"container/heap"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/ids"
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
	index  int
}

// classQueue shares the places of one class among clients. A client that comes back from being idle starts at the
// level of the one that is served next, so that it can neither save up a claim to the past nor is it held back.
type classQueue struct {
	class   Class
	flows   map[ids.Client]*flow
	backlog flowHeap
	waiting int
	rate    rateMeter
	// level is the least served of the flows that wait, or what it was when the last one emptied.
	level float64
}

func newClassQueue(c Class) *classQueue {
	return &classQueue{class: c, flows: make(map[ids.Client]*flow)}
}

func (c *classQueue) push(it *item, share float64) {
	f := c.flows[it.req.Client]
	if f == nil {
		f = &flow{client: it.req.Client, index: -1}
		c.flows[it.req.Client] = f
	}
	f.share = share
	f.items = append(f.items, it)
	f.backlog += it.req.Tokens
	c.waiting++
	if f.index < 0 {
		f.served = max(f.served, c.level)
		heap.Push(&c.backlog, f)
	}
}

// pop takes the next request of the client that has had least. There must be one.
func (c *classQueue) pop() *item {
	f := c.backlog[0]
	c.level = f.served
	it := f.items[0]
	f.items = f.items[1:]
	f.served += it.req.Tokens / f.share
	c.taken(f, it)
	return it
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
	c.forget(f)
}

// forget drops a flow that has nothing waiting and no claim either way, so that memory follows the clients that are
// active and not all that ever were.
func (c *classQueue) forget(f *flow) {
	if f.served <= c.level {
		delete(c.flows, f.client)
	}
}

// settle charges a client for work that was estimated wrongly.
func (c *classQueue) settle(client ids.Client, tokens, share float64) {
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
