package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// State is the state that an upstream reports in the registry.
type State string

const (
	// StateReady upstreams accept new requests.
	StateReady State = "ready"
	// StateDraining upstreams finish their requests and will exit.
	StateDraining State = "draining"
)

// Upstream is one incarnation of an upstream process. A restart may keep its ID, after which the address may belong
// to another service.
type Upstream struct {
	ID ids.Upstream
	// StartedAtMS distinguishes the incarnations of one ID; see ids.UpstreamIncarnation.
	StartedAtMS int64
	Service     ids.Service
	Address     string
	DataCentre  ids.DataCentre
	// Release is the version of the upstream's software.
	Release string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	State State
	// ColdRemaining is how much longer the upstream was cold when it wrote its registry entry.
	ColdRemaining time.Duration
	// ColdStated is set if the entry says so, ColdMalformed if it says something that cannot be read.
	ColdStated, ColdMalformed bool
	// Written is the position of the registry entry; registry entries that were written later have later positions.
	Written platform.Position
}

// Incarnation returns the upstream's incarnation.
func (u *Upstream) Incarnation() ids.UpstreamIncarnation {
	return ids.UpstreamIncarnation{Upstream: u.ID, StartedAtMS: u.StartedAtMS}
}

// Upstreams is the list of all registered upstreams. It is immutable.
type Upstreams struct {
	byID      map[ids.Upstream]*Upstream
	byService map[ids.Service][]*Upstream
}

// NewUpstreams returns an indexed list. Of two registry entries with the same address only the later one counts.
//
// After a restart the registry entry of the old incarnation remains for some heartbeats in addition to the new one. An
// address has one owner at a time, so the later registry entry proves that the earlier incarnation has ended.
func NewUpstreams(list []*Upstream) *Upstreams {
	latest := make(map[string]platform.Position, len(list))
	for _, up := range list {
		latest[up.Address] = latest[up.Address].Max(up.Written)
	}
	u := &Upstreams{byID: make(map[ids.Upstream]*Upstream, len(list)), byService: map[ids.Service][]*Upstream{}}
	for _, up := range list {
		if up.Written.Before(latest[up.Address]) {
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

// Get returns the upstream with the ID, or nil.
func (u *Upstreams) Get(id ids.Upstream) *Upstream { return u.byID[id] }

// Has reports whether the incarnation is in the list.
func (u *Upstreams) Has(i ids.UpstreamIncarnation) bool {
	up := u.byID[i.Upstream]
	return up != nil && up.StartedAtMS == i.StartedAtMS
}

// Of returns the upstreams of a service, sorted by ID. The caller must not change the list.
func (u *Upstreams) Of(s ids.Service) []*Upstream { return u.byService[s] }

// Len returns the number of upstreams.
func (u *Upstreams) Len() int { return len(u.byID) }

// All returns all upstreams in unspecified order.
func (u *Upstreams) All() []*Upstream {
	out := make([]*Upstream, 0, len(u.byID))
	for _, up := range u.byID {
		out = append(out, up)
	}
	return out
}
