// Package agenda runs what an experiment has planned, in the order of a virtual clock.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is what will happen, in order of time and then of planning. It is not safe for concurrent use.
type Agenda struct {
	now   time.Time
	items items
	count int
}

type item struct {
	at    time.Time
	order int
	do    func()
}

type items []item

func (s items) Len() int { return len(s) }
func (s items) Less(i, j int) bool {
	if s[i].at.Equal(s[j].at) {
		return s[i].order < s[j].order
	}
	return s[i].at.Before(s[j].at)
}
func (s items) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *items) Push(x any) { *s = append(*s, x.(item)) }

// Pop implements heap.Interface.
func (s *items) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

// New returns an empty agenda whose clock shows start.
func New(start time.Time) *Agenda { return &Agenda{now: start} }

// Now returns the virtual time.
func (a *Agenda) Now() time.Time { return a.now }

// In plans do after d.
func (a *Agenda) In(d time.Duration, do func()) {
	a.count++
	heap.Push(&a.items, item{a.now.Add(d), a.count, do})
}

// Run does what is planned before end.
func (a *Agenda) Run(end time.Time) {
	for len(a.items) > 0 && a.items[0].at.Before(end) {
		next := heap.Pop(&a.items).(item)
		a.now = next.at
		next.do()
	}
}

// RunFor does what is planned for the next d, and moves the clock by d.
func (a *Agenda) RunFor(d time.Duration) {
	end := a.now.Add(d)
	a.Run(end.Add(1))
	a.now = end
}

// RunAll does all that is planned.
func (a *Agenda) RunAll() {
	for len(a.items) > 0 {
		a.Run(a.items[0].at.Add(1))
	}
}
