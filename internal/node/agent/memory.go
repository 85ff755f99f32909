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
// A whole map of 72 ranks, 12 sets and 144 experts has 7 KB, and goes to each rank: half a megabyte for a switch, a tenth of
// a second of a host's link. What a switch changes has 1 KB.
type mapMemory struct {
	mu    sync.Mutex
	known placements
	last  map[string]uint64 // by host
}

func newMapMemory() *mapMemory { return &mapMemory{last: map[string]uint64{}} }

// told notes that a host's agent was told a map, whether its answer came or not: one that does not have it says so.
func (m *mapMemory) told(host string, version uint64, p lockstep.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known.put(version, p)
	m.last[host] = version
}

// difference returns what differs between the map that a host's agent was told last and the next one.
func (m *mapMemory) difference(host string, next lockstep.Placement) (base uint64, cells []*cardamomyokev1.MapCell, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	base = m.last[host]
	from := m.known.get(base)
	if from == nil {
		return 0, nil, false
	}
	cells, ok = encodeCells(from, next)
	return base, cells, ok
}
