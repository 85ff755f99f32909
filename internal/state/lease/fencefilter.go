package lease

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// StaleFenceError says that an order came from a holder that has lost its lease.
type StaleFenceError struct{ Got, Newest ids.Fence }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fencing number %d is older than %d", e.Got, e.Newest)
}

// FenceFilter lets orders pass whose fencing number is not lower than any before. Engines that ignore fencing numbers get
// orders only through a slot, and the slot's FenceFilter stands in for theirs. The zero value lets everything pass; it is not
// safe for concurrent use.
type FenceFilter struct{ newest ids.Fence }

// Admit returns *StaleFenceError for an order that must not be carried out, and remembers the number of one that may.
func (g *FenceFilter) Admit(f ids.Fence) error {
	if f < g.newest {
		return &StaleFenceError{f, g.newest}
	}
	g.newest = f
	return nil
}
