// Package eventqueue runs the scheduled events of a simulation in the order of a virtual clock.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds scheduled events, sorted by time and, for equal times, by the sequence in which they were scheduled. It
// is not safe for concurrent use.
type Queue struct {
	now       time.Time
	events    eventHeap
	scheduled int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// New returns an empty queue whose clock is at start.
func New(start time.Time) *Queue { return &Queue{now: start} }

// Now returns the virtual time.
func (q *Queue) Now() time.Time { return q.now }

// In schedules run for d after the current virtual time.
func (q *Queue) In(d time.Duration, run func()) {
	q.scheduled++
	heap.Push(&q.events, event{q.now.Add(d), q.scheduled, run})
}

// Run runs the events that are due before end and advances the clock to each of them.
func (q *Queue) Run(end time.Time) {
	for len(q.events) > 0 && q.events[0].at.Before(end) {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.run()
	}
}

// RunFor runs the events that are due within the next d, including its end, and advances the clock by d.
func (q *Queue) RunFor(d time.Duration) {
	end := q.now.Add(d)
	q.Run(end.Add(1))
	q.now = end
}

// RunAll runs events until none is left, including those that events schedule.
func (q *Queue) RunAll() {
	for len(q.events) > 0 {
		q.Run(q.events[0].at.Add(1))
	}
}
