package entry

import (
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// view is what requests see of the entry's control state. It is immutable, but for the gates and budgets that its
// pools point to, which have locks of their own.
type view struct {
	config *config.Snapshot
	// serving says that new work is taken.
	serving bool
	pools   map[ids.Service]*pool
	// addresses are those that callers may use, best first; see addresses.go.
	addresses []string
	// incarnations name the life of each slot that the view was built from.
	incarnations map[ids.Upstream]ids.Incarnation
}

// pool is what one service's requests go through.
type pool struct {
	picker routing.Picker
	gate   *admission.Gate
	budget *retry.Budget
	// upstreams are those of the picker.
	upstreams []*routing.Upstream
	// stepTime is the mean time of a step in the pool, in seconds; 0 if it is not known.
	stepTime float64
}

// usable names the upstreams that take new work and are not excluded.
func (p *pool) usable(exclude []ids.Upstream) []ids.Upstream {
	var out []ids.Upstream
	for _, u := range p.upstreams {
		if u.Weight > 0 && !slices.Contains(exclude, u.ID) {
			out = append(out, u.ID)
		}
	}
	return out
}

// allBut names all upstreams but one, to be excluded.
func (p *pool) allBut(one ids.Upstream) []ids.Upstream {
	var out []ids.Upstream
	for _, u := range p.upstreams {
		if u.ID != one {
			out = append(out, u.ID)
		}
	}
	return out
}
