package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// flow holds one client's waiting requests of one class, and the work that was started for the client.
type flow struct {
	client ids.Client
	share  float64
	items  []*item
	// backlog is the waiting work in tokens.
	backlog float64
	// served is the work that was started for the client, in tokens, divided by its share. The flow with the lowest
	// value is served next.
	served float64
	// rate measures the work that was started for the client, and backloggedSince is the start of the current period
	// without an empty backlog.
	rate            rateMeter
	backloggedSince time.Time
	// idleSince is when forget first found the backlog empty; zero while there is one.
	idleSince time.Time
	index     int
}

// creditRequests is the number of requests by which a client that returns from idle may be served ahead of the others.
// A small client often has an empty backlog for a moment. Without a credit it would lose its turn each time and get
// less than its share although it asks for more. The credit also limits how far it can get ahead.
const creditRequests = 4

// classQueue shares the capacity of one class among clients.
type classQueue struct {
	class   Class
	flows   map[ids.Client]*flow
	backlog flowHeap
	waiting int
	rate    rateMeter
	// level is the lowest served value of the waiting flows at the time of the last pop.
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
		f.backloggedSince = it.submitted
		f.idleSince = time.Time{}
	}
	f.items = append(f.items, it)
	f.backlog += it.req.Tokens
	c.waiting++
	if f.index < 0 {
		f.served = max(f.served, c.level-creditRequests*it.req.Tokens/share)
		heap.Push(&c.backlog, f)
	}
}

// pop removes and returns the next request of the client with the lowest served value. The queue must not be empty.
func (c *classQueue) pop(now time.Time) *item {
	f := c.backlog[0]
	c.level = f.served
	it := f.items[0]
	f.items = f.items[1:]
	f.served += it.req.Tokens / f.share
	f.rate.add(it.req.Tokens, now)
	c.rate.add(it.req.Tokens, now)
	c.updateBacklog(f, it)
	return it
}

// longest returns the flow with the most waiting work relative to its share. The queue must not be empty.
func (c *classQueue) longest() *flow {
	return slices.MaxFunc(c.backlog, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.backlog/a.share, b.backlog/b.share), cmp.Compare(a.client, b.client))
	})
}

// remove removes a waiting request without charging the client. It reports whether the request was waiting.
func (c *classQueue) remove(id uint64) bool {
	for _, f := range c.backlog {
		i := slices.IndexFunc(f.items, func(it *item) bool { return it.req.ID == id })
		if i >= 0 {
			it := f.items[i]
			f.items = slices.Delete(f.items, i, i+1)
			c.updateBacklog(f, it)
			return true
		}
	}
	return false
}

func (c *classQueue) updateBacklog(f *flow, it *item) {
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

// forget deletes the flows that have been idle for idleAfter, so that memory grows with the number of active clients and not
// of all clients ever seen. A flow that is deleted too early would return with its credit renewed.
func (c *classQueue) forget(now time.Time) {
	for client, f := range c.flows {
		switch {
		case f.index >= 0:
		case f.idleSince.IsZero():
			f.idleSince = now
		case now.Sub(f.idleSince) > idleAfter:
			delete(c.flows, client)
		}
	}
}

// idleAfter is how long an idle client is remembered, with the work that was started for it beyond its share.
const idleAfter = time.Minute

// adjust charges a client for the difference between its real and its estimated work.
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

// flowHeap sorts flows by their served values, the lowest first.
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
