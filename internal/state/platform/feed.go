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
	// Rows reads a full table; version is the one to pass to Changes as after. Errors: *UnavailableError.
	Rows(ctx context.Context, table string) (rows []Row, version uint64, err error)
	// Changes waits up to the given time for rows that changed after a version. It returns them in sequence, with the
	// version to continue from; without a change it returns no rows. Errors: *HistoryLostError, *UnavailableError.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (changes []Change, version uint64, err error)
}

// HistoryLostError reports that the changes after a version are no longer retained, so that the full table must be
// read.
type HistoryLostError struct {
	Table string
	After uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("platform: changes of table %s after version %d are no longer retained", e.Table, e.After)
}
