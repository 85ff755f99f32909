package manager

import (
	"context"
	"fmt"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// AllocateFence allocates a fencing token for the duty that no other call returns and that is larger than every one allocated
// before. A node may allocate one before it holds the duty. Errors: *AllocationConflictError, *platform.FenceRangeError, or
// the table's.
func AllocateFence(ctx context.Context, table platform.Table, d lease.Duty) (ids.Fence, error) {
	op := ids.NewOperation()
	key := d.AllocationKey()
	_, err := table.Commit(ctx, platform.Txn{Operation: op, Puts: []platform.Put{{Key: key, Value: []byte(op)}}})
	if err != nil {
		return 0, fmt.Errorf("allocate fencing token: %w", err)
	}
	// The row is read back to obtain a version that certainly belongs to this allocation and to no other.
	rows, err := table.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("read allocated fencing token: %w", err)
	}
	if string(rows[0].Value) != string(op) {
		return 0, &AllocationConflictError{d}
	}
	return rows[0].Position().Fence()
}

// AllocationConflictError reports that another node allocated a fencing token before this node's could be read back. The
// allocation may be retried.
type AllocationConflictError struct{ Duty lease.Duty }

// Error implements error.
func (e *AllocationConflictError) Error() string {
	return "another node has allocated a later fencing token for " + string(e.Duty)
}
