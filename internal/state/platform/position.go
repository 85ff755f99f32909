package platform

import (
	"cmp"
	"fmt"
	"strconv"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Position is a place in the sequence of the store's transactions.
//
// Versions grow within an era. A store that comes back older than its responses begins a new era, in which it gives versions
// out again. A store that names no era has a single one, era 0.
type Position struct {
	Era     uint64
	Version uint64
}

// Compare returns -1, 0 or 1 if p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Max returns the later one of two positions.
func (p Position) Max(q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// String returns ERA/VERSION, or the version alone in era 0.
func (p Position) String() string {
	version := strconv.FormatUint(p.Version, 10)
	if p.Era == 0 {
		return version
	}
	return strconv.FormatUint(p.Era, 10) + "/" + version
}

const (
	// fenceVersionBits is the number of low bits of a fencing token that hold the version, and fenceEraBits the number of
	// bits above them that hold the era. Versions of expert maps hold a token and 16 more bits in 63 bits.
	fenceVersionBits = 36
	fenceEraBits     = 11
)

// FenceRangeError reports that a position is beyond those that a fencing token can hold.
type FenceRangeError struct{ Position Position }

// Error implements error.
func (e *FenceRangeError) Error() string {
	return fmt.Sprintf("position %s does not fit a fencing token", e.Position)
}

// Fence returns the fencing token of a row that was written at the position. Tokens are ordered like their positions, so that
// those of a later era are larger. Errors: *FenceRangeError.
func (p Position) Fence() (ids.Fence, error) {
	if p.Era >= 1<<fenceEraBits || p.Version >= 1<<fenceVersionBits {
		return 0, &FenceRangeError{p}
	}
	return ids.Fence(p.Era<<fenceVersionBits | p.Version), nil
}

// PositionOfFence returns the position that a fencing token holds.
func PositionOfFence(f ids.Fence) Position {
	return Position{Era: uint64(f) >> fenceVersionBits, Version: uint64(f) & (1<<fenceVersionBits - 1)}
}
