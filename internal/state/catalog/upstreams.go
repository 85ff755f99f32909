package catalog

import (
	"cmp"
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// State is what an upstream says of itself in the registry.
type State string

const (
	// StateReady upstreams take new requests.
	StateReady State = "ready"
	// StateDraining upstreams finish what they have and will exit.
	StateDraining State = "draining"
)

// Upstream is one life of a back end. A restart may keep its ID, and the address may belong to another service after it.
type Upstream struct {
	ID ids.Upstream
	// StartedAtMS tells the lives of one ID apart; see ids.UpstreamIncarnation.
	StartedAtMS int64
	Service     ids.Service
	Address     string
	DataCentre  ids.DataCentre
	// Release is the version of its software.
	Release string
	// Slots is how many requests it runs at once.
	Slots int
	State State
	// Version is that of the entry in the registry; a later one was written later.
	Version uint64
}

// Incarnation names the upstream's life.
func (u *Upstream) Incarnation() ids.UpstreamIncarnation {
	return ids.UpstreamIncarnation{Upstream: u.ID, StartedAtMS: u.StartedAtMS}
}

// Upstreams is the list of all upstreams that are registered. It is immutable.
type Upstreams struct {
	byID      map[ids.Upstream]*Upstream
	byService map[ids.Service][]*Upstream
}

// NewUpstreams indexes a list. Of two entries with one address only the later one counts.
//
// After a restart the entry of the old life stays for some heartbeats beside the new one. An address has one owner at a time,
// so the later entry proves that the earlier one's life has ended.
func NewUpstreams(list []*Upstream) *Upstreams {
	latest := make(map[string]uint64, len(list))
	for _, up := range list {
		latest[up.Address] = max(latest[up.Address], up.Version)
	}
	u := &Upstreams{byID: make(map[ids.Upstream]*Upstream, len(list)), byService: map[ids.Service][]*Upstream{}}
	for _, up := range list {
		if up.Version < latest[up.Address] {
			continue
		}
		u.byID[up.ID] = up
		u.byService[up.Service] = append(u.byService[up.Service], up)
	}
	for _, list := range u.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return u
}

// Get returns the upstream with that id, or nil.
func (u *Upstreams) Get(id ids.Upstream) *Upstream { return u.byID[id] }

// Has reports whether that life is in the list.
func (u *Upstreams) Has(i ids.UpstreamIncarnation) bool {
	up := u.byID[i.Upstream]
	return up != nil && up.StartedAtMS == i.StartedAtMS
}

// Of returns the upstreams of a service, ordered by ID; the list must not be changed.
func (u *Upstreams) Of(s ids.Service) []*Upstream { return u.byService[s] }

// Len returns the number of upstreams.
func (u *Upstreams) Len() int { return len(u.byID) }

// All returns every upstream, in no order.
func (u *Upstreams) All() []*Upstream {
	out := make([]*Upstream, 0, len(u.byID))
	for _, up := range u.byID {
		out = append(out, up)
	}
	return out
}
