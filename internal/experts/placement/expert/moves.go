package expert

import (
	"fmt"
	"slices"
)

// Op is the operation that a move performs on one replica.
type Op string

// The operations of moves.
const (
	// OpLoad loads an expert's weights on a rank. The replica takes its share of tokens once the next map is in
	// force.
	OpLoad Op = "load"
	// OpShare changes the share of the tokens that a replica takes. It loads no weights.
	OpShare Op = "share"
	// OpDrop frees the memory slot of a replica.
	OpDrop Op = "drop"
)

// Move is one change to one replica.
type Move struct {
	Op                  Op
	Layer, Expert, Rank int
	// Share is the replica's share in the new map; 0 for OpDrop.
	Share int
}

// MoveError reports that a move does not fit the map to which it is applied.
type MoveError struct {
	Move   Move
	Reason string
}

// Error implements error.
func (e *MoveError) Error() string { return fmt.Sprintf("move %+v: %s", e.Move, e.Reason) }

// Diff returns the moves from one map to another of the same shape: loads, then share changes, then drops, so that no
// expert is without a replica after any of them. Within each operation, moves are sorted by layer, expert and rank.
func Diff(from, to *Map) []Move {
	var loads, shares, drops []Move
	for cell, list := range to.replicas {
		layer, e := cell/to.shape.Experts, cell%to.shape.Experts
		old := from.replicas[cell]
		for _, r := range list {
			i := indexOfRank(old, r.Rank)
			if i < 0 {
				loads = append(loads, Move{OpLoad, layer, e, r.Rank, r.Share})
			} else if old[i].Share != r.Share {
				shares = append(shares, Move{OpShare, layer, e, r.Rank, r.Share})
			}
		}
		for _, r := range old {
			if indexOfRank(list, r.Rank) < 0 {
				drops = append(drops, Move{OpDrop, layer, e, r.Rank, 0})
			}
		}
	}
	return slices.Concat(loads, shares, drops)
}

// Loads returns the number of moves that load weights.
func Loads(moves []Move) int {
	n := 0
	for _, mv := range moves {
		if mv.Op == OpLoad {
			n++
		}
	}
	return n
}

// Apply carries out moves in sequence and returns the resulting map. It returns *MoveError for a move that does not
// fit, and *InvalidError if the result is invalid.
func (m *Map) Apply(version uint64, moves []Move) (*Map, error) {
	replicas := m.Replicas()
	for _, mv := range moves {
		if mv.Layer < 0 || mv.Layer >= m.shape.Layers || mv.Expert < 0 || mv.Expert >= m.shape.Experts {
			return nil, &MoveError{mv, "no such expert"}
		}
		cell := m.shape.Cell(mv.Layer, mv.Expert)
		list, reason := applyMove(replicas[cell], mv)
		if reason != "" {
			return nil, &MoveError{mv, reason}
		}
		replicas[cell] = list
	}
	return New(version, m.shape, replicas)
}

func applyMove(list []Replica, mv Move) ([]Replica, string) {
	i := indexOfRank(list, mv.Rank)
	switch mv.Op {
	case OpLoad:
		if i >= 0 {
			return nil, "the rank holds the expert already"
		}
		return append(list, Replica{mv.Rank, mv.Share}), ""
	case OpShare:
		if i < 0 {
			return nil, "the rank does not hold the expert"
		}
		list[i].Share = mv.Share
		return list, ""
	case OpDrop:
		if i < 0 {
			return nil, "the rank does not hold the expert"
		}
		return slices.Delete(list, i, i+1), ""
	}
	return nil, "unknown operation"
}

func indexOfRank(list []Replica, rank int) int {
	return slices.IndexFunc(list, func(r Replica) bool { return r.Rank == rank })
}
