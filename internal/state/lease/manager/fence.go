package manager

import (
	"context"
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// AllocateFence returns a number for the duty that nobody else gets and that is larger than each one drawn before. A node may draw
// one before it holds the duty. Errors: *AllocationConflictError, or the table's.
func AllocateFence(ctx context.Context, table platform.Table, d lease.Duty) (ids.Fence, error) {
	op := ids.NewOperation()
	key := d.NumberKey()
	_, err := table.Commit(ctx, platform.Txn{Operation: op, Puts: []platform.Put{{Key: key, Value: []byte(op)}}})
	if err != nil {
		return 0, fmt.Errorf("draw a number: %w", err)
	}
	// The row is read back, since only its own version is certain to be no other draw's.
	rows, err := table.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("read the drawn number: %w", err)
	}
	if string(rows[0].Value) != string(op) {
		return 0, &AllocationConflictError{d}
	}
	return ids.Fence(rows[0].Version), nil
}

// AllocationConflictError says that another node has drawn a number before this one's could be read. It may be tried again.
type AllocationConflictError struct{ Duty lease.Duty }

// Error implements error.
func (e *AllocationConflictError) Error() string {
	return "another node has drawn a later number for " + string(e.Duty)
}
