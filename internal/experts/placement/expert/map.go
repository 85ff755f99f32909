package expert

import (
	"fmt"
	"slices"
)

// ShareUnit is the sum of the shares of an expert's replicas.
const ShareUnit = 4096

// maxRanks limits the number of ranks of a decoded map, so that a corrupt encoding cannot cause huge allocations.
const maxRanks = 1 << 16

// Shape is the size of a model group's map.
type Shape struct {
	Ranks, Experts, Layers int
}

// Cells returns the number of cells: the experts of all layers.
func (s Shape) Cells() int { return s.Experts * s.Layers }

// Cell returns the index of a layer's expert in lists that are sorted by layer, then expert.
func (s Shape) Cell(layer, expert int) int { return layer*s.Experts + expert }

// Replica is one copy of an expert.
type Replica struct {
	Rank int
	// Share is the share of the expert's tokens that this replica takes, in units of 1/ShareUnit; 0 marks a standby
	// replica.
	Share int
}

// Map is one version of a group's expert map. It is immutable and safe for concurrent use.
type Map struct {
	version  uint64
	shape    Shape
	replicas [][]Replica
}

// InvalidError describes why a map is invalid. Layer and Expert are also 0 if the fault concerns no single
// expert.
type InvalidError struct {
	Layer, Expert int
	Reason        string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("expert map: layer %d expert %d: %s", e.Layer, e.Expert, e.Reason)
}

// New returns a map with the given replicas of each cell (see Shape.Cell). It takes ownership of the lists and sorts
// them by rank. It returns *InvalidError unless each expert has a replica, no rank holds an expert twice, and the
// shares of each expert add up to ShareUnit.
func New(version uint64, shape Shape, replicas [][]Replica) (*Map, error) {
	tooSmall := shape.Ranks <= 0 || shape.Experts <= 0 || shape.Layers <= 0
	if tooSmall || shape.Ranks > maxRanks || len(replicas) != shape.Cells() {
		return nil, &InvalidError{Reason: fmt.Sprintf("%d lists of replicas do not fit shape %+v", len(replicas), shape)}
	}
	for cell, list := range replicas {
		slices.SortFunc(list, func(a, b Replica) int { return a.Rank - b.Rank })
		if reason := checkReplicas(shape, list); reason != "" {
			return nil, &InvalidError{cell / shape.Experts, cell % shape.Experts, reason}
		}
	}
	return &Map{version, shape, replicas}, nil
}

func checkReplicas(shape Shape, list []Replica) string {
	if len(list) == 0 {
		return "no replica"
	}
	sum := 0
	for i, r := range list {
		if r.Rank < 0 || r.Rank >= shape.Ranks {
			return fmt.Sprintf("no rank %d", r.Rank)
		}
		if i > 0 && list[i-1].Rank == r.Rank {
			return fmt.Sprintf("two replicas on rank %d", r.Rank)
		}
		if r.Share < 0 {
			return fmt.Sprintf("negative share on rank %d", r.Rank)
		}
		sum += r.Share
	}
	if sum != ShareUnit {
		return fmt.Sprintf("shares add up to %d", sum)
	}
	return ""
}

// Version returns the version of the map, which only grows within a group.
func (m *Map) Version() uint64 { return m.version }

// Shape returns the size of the map.
func (m *Map) Shape() Shape { return m.shape }

// At returns the replicas of an expert, sorted by rank. The caller must not change the list.
func (m *Map) At(layer, expert int) []Replica { return m.replicas[m.shape.Cell(layer, expert)] }

// Replicas returns a copy of the lists of all cells, which the caller may change.
func (m *Map) Replicas() [][]Replica {
	out := make([][]Replica, len(m.replicas))
	for i, list := range m.replicas {
		out[i] = slices.Clone(list)
	}
	return out
}

// Used returns the number of memory slots that each rank needs.
func (m *Map) Used() []int {
	used := make([]int, m.shape.Ranks)
	for _, list := range m.replicas {
		for _, r := range list {
			used[r.Rank]++
		}
	}
	return used
}

// Equal reports whether both maps have the same content; their versions may differ.
func (m *Map) Equal(o *Map) bool {
	return m.shape == o.shape && slices.EqualFunc(m.replicas, o.replicas, slices.Equal[[]Replica])
}
