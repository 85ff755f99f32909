package lockstep

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// validCounts reports whether counts has the shape of the service's experts.
func validCounts(counts Counts, x *catalog.Experts) bool {
	if len(counts) != x.Sets {
		return false
	}
	for _, set := range counts {
		if len(set) != x.PerSet {
			return false
		}
	}
	return true
}

// sampledRanks returns the ranks whose counts are read: up to SampleLocal local ones, which cost the group nothing,
// and remote ones if these are fewer than Sample. It returns the same ranks each time, since the counts between two
// reads of one rank are needed.
func (c *Controller) sampledRanks(s *snapshot) []int {
	var local, remote []int
	for r, u := range s.upstreams {
		if c.o.RankClient.ReadsWithoutPause(u) {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	local = evenlySpaced(local, c.o.SampleLocal)
	return append(local, evenlySpaced(remote, c.o.Sample-len(local))...)
}

// evenlySpaced returns n of the ranks at even distances.
func evenlySpaced(ranks []int, n int) []int {
	n = max(0, min(n, len(ranks)))
	out := make([]int, 0, n)
	for i := range n {
		out = append(out, ranks[i*len(ranks)/n])
	}
	return out
}

// readCounts reads the counts of the sampled ranks.
func (c *Controller) readCounts(ctx context.Context, s *snapshot) {
	ranks := c.sampledRanks(s)
	type read struct {
		rank   int
		since  CountStart
		counts Counts
	}
	reads := make([]*read, len(ranks))
	var wait sync.WaitGroup
	for i, rank := range ranks {
		wait.Go(func() {
			since, counts, err := c.o.RankClient.Counts(ctx, s.upstreams[rank], s.group.experts().Sets)
			switch {
			case err != nil:
				_ = level.Debug(c.o.Logger).Log("msg", "no counts", "rank", rank, "err", err)
			case !validCounts(counts, s.group.experts()):
				_ = level.Warn(c.o.Logger).Log("msg", "counts ignored", "reason", "their shape is not that of the service's experts", "rank", rank)
			default:
				reads[i] = &read{rank, since, counts}
			}
		})
	}
	wait.Wait()
	now := time.Now()
	for _, r := range reads {
		if r != nil && r.since.Epoch == s.epoch {
			c.demand.Observe(now, r.rank, r.since, r.counts)
		}
	}
}
