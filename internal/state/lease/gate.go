package lease

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// OldFenceError says that an order came from a holder that has lost its lease.
type OldFenceError struct{ Got, Newest ids.Fence }

// Error implements error.
func (e *OldFenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Got, e.Newest)
}

// Gate lets orders pass whose fencing number is not lower than any before. Engines that ignore fencing numbers get
// orders only through a slot, and the slot's Gate stands in for theirs. The zero value lets everything pass; it is not
// safe for concurrent use.
type Gate struct{ newest ids.Fence }

// Admit returns *OldFenceError for an order that must not be carried out, and remembers the number of one that may.
func (g *Gate) Admit(f ids.Fence) error {
	if f < g.newest {
		return &OldFenceError{f, g.newest}
	}
	g.newest = f
	return nil
}
