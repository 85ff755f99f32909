package lockstep

import (
	"context"
	"slices"
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// maxRosterReads is how many upstreams are asked for their group at once.
const maxRosterReads = 64

// Roster knows which group each upstream is a rank of. It is safe for concurrent use.
//
// A service may have several groups, whose ranks have the same numbers; taken for one, each would run passes under two maps.
// A life belongs to one group as long as it lasts, so that asking it once is enough.
type Roster struct {
	mu    sync.Mutex
	group map[ids.Life]string
}

// NewRoster returns a roster that knows nobody.
func NewRoster() *Roster { return &Roster{group: map[ids.Life]string{}} }

// Update asks those of the upstreams that are not known yet, forgets those that are gone, and returns the groups' names in
// order. An upstream that does not answer is asked again the next time.
func (r *Roster) Update(ctx context.Context, ranks Ranks, list []*catalog.Upstream) []string {
	var wait sync.WaitGroup
	for _, u := range r.unknown(list) {
		wait.Go(func() {
			report, err := ranks.Report(ctx, u)
			if err != nil {
				return // asked again with the next update
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.group[u.Life()] = report.Group
		})
	}
	wait.Wait()
	return r.names(list)
}

func (r *Roster) unknown(list []*catalog.Upstream) []*catalog.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*catalog.Upstream
	for _, u := range list {
		if _, known := r.group[u.Life()]; !known && len(out) < maxRosterReads {
			out = append(out, u)
		}
	}
	return out
}

func (r *Roster) names(list []*catalog.Upstream) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[ids.Life]string, len(list))
	var names []string
	for _, u := range list {
		name, known := r.group[u.Life()]
		if !known {
			continue
		}
		next[u.Life()] = name
		names = append(names, name)
	}
	r.group = next
	slices.Sort(names)
	return slices.Compact(names)
}

// Of returns those of the upstreams that are known to be ranks of a group.
func (r *Roster) Of(name string, list []*catalog.Upstream) []*catalog.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*catalog.Upstream
	for _, u := range list {
		if got, known := r.group[u.Life()]; known && got == name {
			out = append(out, u)
		}
	}
	return out
}
