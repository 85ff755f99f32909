package lockstep

import (
	"sync"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

const (
	// versionsPerTask is the number of versions reserved for each switch: one for the new map and one for the current
	// map in case the switch is undone.
	versionsPerTask = 2
	// fenceShift is the number of low bits of a version that count the tasks of one leader, so that its versions are
	// below those of the next leader.
	fenceShift = 16
	// lastSerial is the last serial of a fencing token that leaves versions for its task.
	lastSerial = 1<<fenceShift - versionsPerTask
)

// Serials counts the tasks that a node starts under each of its fencing tokens. It is safe for concurrent use.
//
// Two controllers may run one after the other under the same token. If the second one counted from the start, two
// maps would share a version, and a rank that has prepared the first would mistake the second for it.
type Serials struct {
	mu   sync.Mutex
	last map[ids.Fence]uint64
}

// NewSerials returns a counter at zero for every token.
func NewSerials() *Serials { return &Serials{last: map[ids.Fence]uint64{}} }

func (s *Serials) next(f ids.Fence) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[f] += versionsPerTask
	return s.last[f]
}

// exhausted reports whether a token has no versions left: the next ones would be those of a later leader.
func (s *Serials) exhausted(f ids.Fence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[f] >= lastSerial
}

// versionOf returns the version of a task's map under a fencing token.
func versionOf(f ids.Fence, serial uint64) uint64 { return uint64(f)<<fenceShift + serial }

// newerFence returns the later fencing token that makes the leader's current one obsolete, or 0.
//
// A leader that was paused may not be aware that another one was the leader in the meantime. All its orders would be
// refused, and a group that the other leader has held would stay held. The versions in the ranks' reports reveal the
// later token.
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
	_ = level.Info(c.o.Logger).Log("msg", "fencing token outdated", "number", c.fence, "newer", newer)
	if c.o.OnStaleFence != nil {
		c.o.OnStaleFence(newer)
	}
}
