package lockstep

import (
	"context"
	"slices"
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// maxGroupReads is how many upstreams are asked for their group at once.
const maxGroupReads = 64

// GroupIndex knows which group each upstream is a rank of. It is safe for concurrent use.
//
// A service may have several groups, whose ranks have the same numbers; taken for one, each would run passes under two maps.
// A life belongs to one group as long as it lasts, so that asking it once is enough.
type GroupIndex struct {
	mu    sync.Mutex
	group map[ids.UpstreamIncarnation]string
}

// NewGroupIndex returns an index that knows nobody.
func NewGroupIndex() *GroupIndex { return &GroupIndex{group: map[ids.UpstreamIncarnation]string{}} }

// Update asks those of the upstreams that are not known yet, forgets those that are gone, and returns the groups' names in
// order. An upstream that does not answer is asked again the next time.
func (g *GroupIndex) Update(ctx context.Context, client RankClient, list []*catalog.Upstream) []string {
	var wait sync.WaitGroup
	for _, u := range g.unknown(list) {
		wait.Go(func() {
			report, err := client.Report(ctx, u)
			if err != nil {
				return // asked again with the next update
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

// Of returns those of the upstreams that are known to be ranks of a group.
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
