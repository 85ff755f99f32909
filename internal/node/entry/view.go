package entry

import (
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// view is the snapshot of the control state that requests use. It is immutable except for the gates and budgets of its
// pools and the work counts and cached blocks of their upstreams, which are safe for concurrent use.
type view struct {
	config *config.Snapshot
	// serving is set if the entry accepts new work.
	serving bool
	pools   map[ids.Service]*pool
	// addresses are those of the other entries that callers may use; see addresses.go.
	addresses []string
	// incarnations holds the incarnation of each slot whose digest the view was built from.
	incarnations map[ids.Upstream]ids.Incarnation
}

// pool holds the picker, the admission gate and the retry budget for the requests of one service.
type pool struct {
	picker routing.Picker
	gate   *admission.Gate
	budget *retry.Budget
	// upstreams are the ones that picker chooses from.
	upstreams []*routing.Upstream
	// stepTime is the mean time of a step in the pool, in seconds, or 0 if it is unknown.
	stepTime float64
}

// usable returns the upstreams that accept new work and are not excluded.
func (p *pool) usable(exclude []ids.Upstream) []ids.Upstream {
	var out []ids.Upstream
	for _, u := range p.upstreams {
		if u.Weight > 0 && !slices.Contains(exclude, u.ID) {
			out = append(out, u.ID)
		}
	}
	return out
}

// allBut returns all upstreams except one, as a list of upstreams to exclude.
func (p *pool) allBut(one ids.Upstream) []ids.Upstream {
	var out []ids.Upstream
	for _, u := range p.upstreams {
		if u.ID != one {
			out = append(out, u.ID)
		}
	}
	return out
}
