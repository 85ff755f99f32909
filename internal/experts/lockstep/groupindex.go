package lockstep

import (
	"context"
	"slices"
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// maxGroupReads is the maximum number of upstreams that one update reads.
const maxGroupReads = 64

// GroupIndex maps each upstream to the group that it is a rank of. It is safe for concurrent use.
//
// A service may have several groups whose ranks have the same numbers. If they were treated as one group, each would
// run passes under two maps. An upstream incarnation belongs to one group for its whole run, so reading it once is
// enough.
type GroupIndex struct {
	mu    sync.Mutex
	group map[ids.UpstreamIncarnation]string
}

// NewGroupIndex returns an empty index.
func NewGroupIndex() *GroupIndex { return &GroupIndex{group: map[ids.UpstreamIncarnation]string{}} }

// Update reads the groups of upstreams that are not in the index, removes those that are not in list, and returns the
// sorted names of the groups. An upstream that does not respond is read again in the next update.
func (g *GroupIndex) Update(ctx context.Context, client RankClient, list []*catalog.Upstream) []string {
	var wait sync.WaitGroup
	for _, u := range g.unknown(list) {
		wait.Go(func() {
			report, err := client.Report(ctx, u)
			if err != nil {
				return // retried in the next update
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.group[u.Incarnation()] = report.Group
		})
	}
	wait.Wait()
	return g.names(list)
}

func (g *GroupIndex) unknown(list []*catalog.Upstream) []*catalog.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*catalog.Upstream
	for _, u := range list {
		if _, known := g.group[u.Incarnation()]; !known && len(out) < maxGroupReads {
			out = append(out, u)
		}
	}
	return out
}

func (g *GroupIndex) names(list []*catalog.Upstream) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[ids.UpstreamIncarnation]string, len(list))
	var names []string
	for _, u := range list {
		name, known := g.group[u.Incarnation()]
		if !known {
			continue
		}
		next[u.Incarnation()] = name
		names = append(names, name)
	}
	g.group = next
	slices.Sort(names)
	return slices.Compact(names)
}

// Of returns the upstreams in list that the index has as ranks of the named group.
func (g *GroupIndex) Of(name string, list []*catalog.Upstream) []*catalog.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*catalog.Upstream
	for _, u := range list {
		if got, known := g.group[u.Incarnation()]; known && got == name {
			out = append(out, u)
		}
	}
	return out
}
