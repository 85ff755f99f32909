package lockstep

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// loadPlacement reads the map in use unless the controller has it. It returns false if the map cannot be read now.
func (c *Controller) loadPlacement(ctx context.Context, s *snapshot) bool {
	version := s.reports[0].Version
	for _, r := range s.reports {
		if r.Version != version {
			return false // the reports are from before and after a switch
		}
	}
	if c.placement != nil && c.version == version {
		return true
	}
	if c.placement != nil && version < c.version && s.pass <= c.switchPass {
		return false // the reports are from before the last switch
	}
	held := make([]*HeldExperts, len(s.upstreams))
	var wait sync.WaitGroup
	for r, u := range s.upstreams {
		wait.Go(func() {
			if h, err := c.o.RankClient.HeldExperts(ctx, u); err == nil {
				held[r] = &h
			}
		})
	}
	wait.Wait()
	sets := s.group.experts().Sets
	placement := make(Placement, sets)
	for set := range placement {
		placement[set] = make([][]int, len(held))
	}
	for r, h := range held {
		if h == nil || h.Epoch != s.epoch || h.Version != version {
			return false
		}
		if !validExperts(h.Experts, s.group.experts()) {
			_ = level.Warn(c.o.Logger).Log("msg", "map not read", "reason", "a rank holds experts that its service does not have",
				"rank", r, "version", version)
			return false
		}
		for set := range placement {
			placement[set][r] = h.Experts[set]
		}
	}
	c.placement, c.version = placement, version
	return true
}

// validExperts reports whether a rank's experts, by set, are among those of its service. The configuration may be
// older than the rank, or wrong.
func validExperts(held [][]int, x *catalog.Experts) bool {
	if len(held) != x.Sets {
		return false
	}
	for _, set := range held {
		for _, expert := range set {
			if expert < 0 || expert >= x.PerSet {
				return false
			}
		}
	}
	return true
}
