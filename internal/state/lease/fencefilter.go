package lease

import (
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// StaleFenceError reports that an order came from a holder that has lost its lease.
type StaleFenceError struct{ Got, Newest ids.Fence }

// Error implements error.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fencing token %d is older than %d", e.Got, e.Newest)
}

// FenceFilter admits orders whose fencing token is not lower than any admitted before. Engines that ignore fencing tokens
// get orders only through a slot, whose FenceFilter checks the tokens for them. The zero value admits any first order. A
// FenceFilter is not safe for concurrent use.
type FenceFilter struct{ newest ids.Fence }

// Admit records the token of an order that may be carried out, or returns *StaleFenceError.
func (g *FenceFilter) Admit(f ids.Fence) error {
	if f < g.newest {
		return &StaleFenceError{f, g.newest}
	}
	g.newest = f
	return nil
}
