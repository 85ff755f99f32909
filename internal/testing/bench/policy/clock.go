package policy

import (
	"container/heap"
	"time"
)

// epoch is the virtual start time of every run.
var epoch = time.Unix(1_000_000_000, 0)

// clock is a virtual clock. It runs callbacks in the order of their due times, and callbacks that are due at the same
// time in the order in which they were added.
type clock struct {
	now     time.Time
	pending timers
	seq     uint64
}

type timer struct {
	at       time.Time
	seq      uint64
	callback func()
}

func newClock() *clock { return &clock{now: epoch} }

func (c *clock) at(t time.Time, callback func()) {
	c.seq++
	heap.Push(&c.pending, timer{t, c.seq, callback})
}

func (c *clock) after(d time.Duration, callback func()) { c.at(c.now.Add(d), callback) }

// every calls callback immediately and then at the given interval.
func (c *clock) every(interval time.Duration, callback func()) {
	callback()
	c.after(interval, func() { c.every(interval, callback) })
}

func (c *clock) run(until time.Time) {
	for len(c.pending) > 0 && c.pending[0].at.Before(until) {
		t := heap.Pop(&c.pending).(timer)
		c.now = t.at
		t.callback()
	}
	c.now = until
}

type timers []timer

func (h timers) Len() int { return len(h) }

func (h timers) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timers) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
