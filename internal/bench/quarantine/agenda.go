package quarantine

import (
	"container/heap"
	"time"
)

// agenda is what will happen, in order of time and then of planning.
type agenda struct {
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

// in plans do after d.
func (a *agenda) in(d time.Duration, do func()) {
	a.count++
	heap.Push(&a.items, item{a.now.Add(d), a.count, do})
}

// run does what is planned until end.
func (a *agenda) run(end time.Time) {
	for len(a.items) > 0 && a.items[0].at.Before(end) {
		next := heap.Pop(&a.items).(item)
		a.now = next.at
		next.do()
	}
}
