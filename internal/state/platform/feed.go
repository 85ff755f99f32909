package platform

import (
	"context"
	"fmt"
	"time"
)

// Change is a row as it is after a change; a removed row has no value.
type Change struct {
	Row
	Removed bool
}

// Feed follows tables that others write, such as the operators' configuration and the registry of upstreams.
type Feed interface {
	// Rows reads a whole table; version is the one that Changes goes on from. Errors: *UnavailableError.
	Rows(ctx context.Context, table string) (rows []Row, version uint64, err error)
	// Changes waits up to the given time for rows that changed after a version, and returns them in order with the version
	// to go on from. Without a change it returns none. Errors: *HistoryLostError, *UnavailableError.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (changes []Change, version uint64, err error)
}

// HistoryLostError says that the changes after a version are no longer kept: the whole table must be read.
type HistoryLostError struct {
	Table string
	After uint64
}

// Error implements error.
func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("platform: changes of table %s after version %d are no longer kept", e.Table, e.After)
}
