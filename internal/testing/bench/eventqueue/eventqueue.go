// Package eventqueue runs what an experiment has planned, in the order of a virtual clock.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is what will happen, in order of time and then of planning. It is not safe for concurrent use.
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

func (s eventHeap) Len() int { return len(s) }
func (s eventHeap) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].sequence < s[j].sequence
	}
	return s[i].at.Before(s[j].at)
}
func (s eventHeap) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *eventHeap) Push(x any) { *s = append(*s, x.(event)) }

// Pop implements heap.Interface.
func (s *eventHeap) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// New returns an empty queue whose clock shows start.
func New(start time.Time) *Queue { return &Queue{now: start} }

// Now returns the virtual time.
func (q *Queue) Now() time.Time { return q.now }

// In plans do after d.
func (q *Queue) In(d time.Duration, do func()) {
	q.scheduled++
	heap.Push(&q.events, event{q.now.Add(d), q.scheduled, do})
}

// Run does what is planned before end.
func (q *Queue) Run(end time.Time) {
	for len(q.events) > 0 && q.events[0].at.Before(end) {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.run()
	}
}

// RunFor does what is planned for the next d, and moves the clock by d.
func (q *Queue) RunFor(d time.Duration) {
	end := q.now.Add(d)
	q.Run(end.Add(1))
	q.now = end
}

// RunAll does all that is planned.
func (q *Queue) RunAll() {
	for len(q.events) > 0 {
		q.Run(q.events[0].at.Add(1))
	}
}
