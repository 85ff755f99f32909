package writer

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// CorruptError says that a row of the audit cannot be read.
type CorruptError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("audit: %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// end is a chain's head with its version in the table.
type end struct {
	audit.Head
	version uint64
}

// readEnd reads the end of a chain; a chain that was never written is empty.
func readEnd(ctx context.Context, table platform.Table, chain audit.Chain) (end, error) {
	rows, err := table.Get(ctx, chain.HeadKey())
	if err != nil {
		return end{}, fmt.Errorf("audit: %w", err)
	}
	if rows[0].Version == 0 {
		return end{Head: audit.Head{Chain: chain}}, nil
	}
	r := &audit.Row{}
	if err := proto.Unmarshal(rows[0].Value, r); err != nil {
		return end{}, &CorruptError{chain.HeadKey(), err}
	}
	return end{audit.HeadOf(r), rows[0].Version}, nil
}

// appendTxn returns the transaction that puts rows at the end of a chain, and the end after it. It is applied only if
// the end is still the same, so that two writers never fork a chain.
func appendTxn(e end, rows []*audit.Row, op ids.Operation) (platform.Txn, end, []*audit.Row) {
	linked, next := e.Link(rows)
	t := platform.Txn{
		Operation: op,
		Checks:    []platform.Check{{Key: e.Chain.HeadKey(), Version: e.version}},
		Puts:      []platform.Put{{Key: e.Chain.HeadKey(), Value: encode(next.Row())}},
	}
	for _, r := range linked {
		t.Checks = append(t.Checks, platform.Check{Key: r.GetKey()})
		t.Puts = append(t.Puts, platform.Put{Key: r.GetKey(), Value: encode(r)})
	}
	return t, end{next, e.version + 1}, linked
}

func encode(r *audit.Row) []byte {
	value, err := proto.Marshal(r)
	if err != nil {
		panic(err) // rows are built by this program; only text that is no UTF-8 fails, which Record replaces
	}
	return value
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

func isUnknown(err error) bool {
	var unknown *platform.UnknownOutcomeError
	return errors.As(err, &unknown)
}
