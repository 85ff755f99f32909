package expert

import (
	"fmt"
	"slices"
)

// ShareUnit is the sum of the shares of an expert's replicas.
const ShareUnit = 4096

// maxRanks keeps a damaged encoding from asking for lists of absurd length.
const maxRanks = 1 << 16

// Shape is the size of a model group.
type Shape struct {
	Ranks, Experts, Layers int
}

// Cells returns the number of experts over all layers.
func (s Shape) Cells() int { return s.Experts * s.Layers }

// Cell returns the index of an expert of a layer in lists that run over layers and then experts.
func (s Shape) Cell(layer, expert int) int { return layer*s.Experts + expert }

// Replica is one copy of an expert.
type Replica struct {
	Rank int
	// Share is the part of the expert's tokens that this copy takes, in 1/ShareUnit; 0 marks a copy in waiting.
	Share int
}

// Map is one version of the placement. It is immutable and safe for concurrent use.
type Map struct {
	version  uint64
	shape    Shape
	replicas [][]Replica
}

// InvalidError says why a map is not sound.
type InvalidError struct {
	Layer, Expert int
	Reason        string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("expert map: layer %d expert %d: %s", e.Layer, e.Expert, e.Reason)
}

// New returns a map with the replicas of each cell (see Shape.Cell); it takes the lists over and sorts them by rank. It
// returns *InvalidError unless each expert has a replica, no rank holds one twice and shares add up to ShareUnit.
func New(version uint64, shape Shape, replicas [][]Replica) (*Map, error) {
	small := shape.Ranks <= 0 || shape.Experts <= 0 || shape.Layers <= 0
	if small || shape.Ranks > maxRanks || len(replicas) != shape.Cells() {
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

// Version returns the number of the map; it only grows within a group.
func (m *Map) Version() uint64 { return m.version }

// Shape returns the size of the group.
func (m *Map) Shape() Shape { return m.shape }

// At returns the replicas of an expert, ordered by rank; the list must not be changed.
func (m *Map) At(layer, expert int) []Replica { return m.replicas[m.shape.Cell(layer, expert)] }

// Replicas returns a copy of the lists of all cells, free to be changed.
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
