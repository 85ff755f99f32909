package platform

import (
	"context"
	"fmt"
	"time"
)

// Change is a row after a change; a removed row has no value.
type Change struct {
	Row
	Removed bool
}

// Feed follows tables that other systems write, such as the operators' configuration and the registry of upstreams.
type Feed interface {
	// Rows reads a full table as of one era; to is the position to pass to Changes as after. Errors: *UnavailableError.
	Rows(ctx context.Context, table string) (rows []Row, to Position, err error)
	// Changes waits up to the given time for rows that changed after a position. It returns them in sequence, with the
	// position to continue from; without a change it returns no rows. Errors: *HistoryLostError, *UnavailableError.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) (changes []Change, to Position, err error)
}

// HistoryLostError reports that the store does not have the changes after a position, so that the full table must be
// read: it has discarded them, or has begun another era.
type HistoryLostError struct {
	Table string
	After Position
	// Era is the era of the response.
	Era uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("platform: store in era %d does not have the changes of table %s after %s", e.Era, e.Table, e.After)
}

// EndedEraError reports that a call depends on an era of the store that has ended.
type EndedEraError struct{ Era, Newest uint64 }

// Error implements error.
func (e *EndedEraError) Error() string {
	return fmt.Sprintf("era %d of the store has ended, the newest is %d", e.Era, e.Newest)
}
