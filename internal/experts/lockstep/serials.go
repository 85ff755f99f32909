package lockstep

import (
	"sync"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

const (
	// versionsPerTask are reserved for each switch: the new map, and the present one again if it is undone.
	versionsPerTask = 2
	// fenceShift leaves room for the versions of one leader below those of the next.
	fenceShift = 16
	// lastSerial is the last task that one number has versions for.
	lastSerial = 1<<fenceShift - versionsPerTask
)

// Serials count the tasks that a node begins under each of its numbers. It is safe for concurrent use.
//
// Two controllers under one number may follow each other; if the second counted from the start, two maps would have one
// version, and a rank that has prepared the first would take the second for it.
type Serials struct {
	mu   sync.Mutex
	last map[ids.Fence]uint64
}

// NewSerials returns a counter that has counted nothing.
func NewSerials() *Serials { return &Serials{last: map[ids.Fence]uint64{}} }

func (s *Serials) next(f ids.Fence) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[f] += versionsPerTask
	return s.last[f]
}

// exhausted reports whether a number has no versions left: the next ones would be those of a later leader.
func (s *Serials) exhausted(f ids.Fence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[f] >= lastSerial
}

// versionOf is the version of a task's map under a number.
func versionOf(f ids.Fence, serial uint64) uint64 { return uint64(f)<<fenceShift + serial }

// newerFence returns the later number that makes the leader's present one obsolete, or 0.
//
// A leader that was paused may never hear of the one that led meanwhile, has all its orders refused, and would leave a group
// held that the other has held. What the ranks report tells it.
func (c *Controller) newerFence(s *snapshot) ids.Fence {
	newest := c.fence
	for _, r := range s.reports {
		newest = max(newest, ids.Fence(max(r.Version, r.Prepared)>>fenceShift))
	}
	switch {
	case newest > c.fence:
		return newest
	case c.o.Serials.exhausted(c.fence):
		return c.fence + 1
	}
	return 0
}

func (c *Controller) reportStaleFence(newer ids.Fence) {
	_ = level.Info(c.o.Logger).Log("msg", "number outdated", "number", c.fence, "newer", newer)
	if c.o.Outdated != nil {
		c.o.Outdated(newer)
	}
}
