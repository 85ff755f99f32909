package agent

import (
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// keptMaps is how many maps are remembered: the one in use, the one being prepared, and one that was given up.
const keptMaps = 3

// placements are the last maps by version. They are not safe for concurrent use.
type placements struct {
	versions []uint64
	maps     map[uint64]lockstep.Placement
}

func (p *placements) get(version uint64) lockstep.Placement { return p.maps[version] }

func (p *placements) put(version uint64, m lockstep.Placement) {
	if p.maps == nil {
		p.maps = map[uint64]lockstep.Placement{}
	}
	if p.maps[version] == nil {
		p.versions = append(p.versions, version)
	}
	p.maps[version] = m
	if len(p.versions) > keptMaps {
		delete(p.maps, p.versions[0])
		p.versions = p.versions[1:]
	}
}

// mapMemory knows which map each agent was told last. It is safe for concurrent use.
//
// A map grows with ranks and sets and goes to each rank, so that a leader's link would bound how fast it can switch. What a
// switch changes is much smaller.
type mapMemory struct {
	mu    sync.Mutex
	known placements
	last  map[string]uint64 // by host
	// cells and whole are what was worked out last: a map goes to all ranks, and nearly all were told the same one before.
	cells difference
	whole encodedMap
}

// difference is what differs between two maps.
type difference struct {
	base, version uint64
	cells         []*cardamomyokev1.MapCell
	ok            bool
}

// encodedMap is a whole map as it is sent.
type encodedMap struct {
	version uint64
	lists   []*cardamomyokev1.ExpertList
}

func newMapMemory() *mapMemory { return &mapMemory{last: map[string]uint64{}} }

// told notes that a host's agent was told a map, whether its answer came or not: one that does not have it says so.
func (m *mapMemory) told(host string, version uint64, p lockstep.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known.put(version, p)
	m.last[host] = version
}

// difference returns what differs between the map that a host's agent was told last and the next one. The cells must not be
// changed.
func (m *mapMemory) difference(host string, version uint64, next lockstep.Placement) (base uint64, cells []*cardamomyokev1.MapCell, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	base = m.last[host]
	from := m.known.get(base)
	if from == nil {
		return 0, nil, false
	}
	if m.cells.base != base || m.cells.version != version {
		cells, ok := encodeCells(from, next)
		m.cells = difference{base, version, cells, ok}
	}
	return base, m.cells.cells, m.cells.ok
}

// encoded returns the lists of a whole map, by set and then by rank, which must not be changed.
func (m *mapMemory) encoded(version uint64, p lockstep.Placement) []*cardamomyokev1.ExpertList {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.whole.version != version || m.whole.lists == nil {
		m.whole = encodedMap{version, encodePlacement(p)}
	}
	return m.whole.lists
}
