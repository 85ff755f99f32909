package agent

import (
	"sync"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// maxMaps is the number of maps retained: the one in use, the one being prepared, and one whose switch was aborted.
const maxMaps = 3

// mapsByVersion holds the maxMaps expert maps added last, keyed by version. An expert map assigns experts to ranks. It
// is not safe for concurrent use.
type mapsByVersion struct {
	versions  []uint64
	byVersion map[uint64]lockstep.Placement
}

func (p *mapsByVersion) get(version uint64) lockstep.Placement { return p.byVersion[version] }

func (p *mapsByVersion) put(version uint64, m lockstep.Placement) {
	if p.byVersion == nil {
		p.byVersion = map[uint64]lockstep.Placement{}
	}
	if p.byVersion[version] == nil {
		p.versions = append(p.versions, version)
	}
	p.byVersion[version] = m
	if len(p.versions) > maxMaps {
		delete(p.byVersion, p.versions[0])
		p.versions = p.versions[1:]
	}
}

// mapCache holds the last map sent to each agent, for the gateways' client. It is safe for concurrent use.
//
// It allows sending only the difference between two maps, which is much smaller than a map. The size of a map grows
// with the number of ranks and sets, and each rank gets the map. With full maps the bandwidth of the leader's network
// link would limit how fast it can switch.
type mapCache struct {
	mu       sync.Mutex
	maps     mapsByVersion
	lastSent map[string]uint64 // by host
	// lastDifference and lastEncoded are the last results of difference and encoded. They are reused because a map is
	// sent to all ranks, and nearly all of them got the same map before.
	lastDifference difference
	lastEncoded    encodedMap
}

// difference is the difference between two maps; ok is false if they have different shapes.
type difference struct {
	base, version uint64
	cells         []*cardamomyokev1.MapCell
	ok            bool
}

// encodedMap is a full map in its wire form.
type encodedMap struct {
	version uint64
	lists   []*cardamomyokev1.ExpertList
}

func newMapCache() *mapCache { return &mapCache{lastSent: map[string]uint64{}} }

// recordSent records that a map was sent to the agent of a host. It is called whether or not the agent responded: an
// agent that does not have the map refuses a difference from it.
func (m *mapCache) recordSent(host string, version uint64, p lockstep.Placement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maps.put(version, p)
	m.lastSent[host] = version
}

// difference returns the version of the map last sent to the agent of a host, and the cells in which next differs from
// it. It returns false if that map is not in the cache or has another shape. The caller must not modify the cells.
func (m *mapCache) difference(host string, version uint64, next lockstep.Placement) (base uint64, cells []*cardamomyokev1.MapCell, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	base = m.lastSent[host]
	from := m.maps.get(base)
	if from == nil {
		return 0, nil, false
	}
	if m.lastDifference.base != base || m.lastDifference.version != version {
		cells, ok := encodeCells(from, next)
		m.lastDifference = difference{base, version, cells, ok}
	}
	return base, m.lastDifference.cells, m.lastDifference.ok
}

// encoded returns the lists of a full map, by set and then by rank. The caller must not modify them.
func (m *mapCache) encoded(version uint64, p lockstep.Placement) []*cardamomyokev1.ExpertList {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastEncoded.version != version || m.lastEncoded.lists == nil {
		m.lastEncoded = encodedMap{version, encodePlacement(p)}
	}
	return m.lastEncoded.lists
}
