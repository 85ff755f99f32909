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

// CorruptError reports that an audit row or an archived object cannot be decoded.
type CorruptError struct {
	// Key is the key of the row or the name of the object.
	Key   string
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string { return fmt.Sprintf("audit: %s: %v", e.Key, e.Cause) }

// Unwrap returns Cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// chainEnd is the head of a chain with its version in the table.
type chainEnd struct {
	audit.Head
	version uint64
}

// readEnd reads the end of a chain. For a chain that was never written it returns an empty one with version 0.
func readEnd(ctx context.Context, table platform.Table, chain audit.Chain) (chainEnd, error) {
	rows, err := table.Get(ctx, chain.HeadKey())
	if err != nil {
		return chainEnd{}, fmt.Errorf("audit: %w", err)
	}
	if rows[0].Version == 0 {
		return chainEnd{Head: audit.Head{Chain: chain}}, nil
	}
	r := &audit.Row{}
	if err := proto.Unmarshal(rows[0].Value, r); err != nil {
		return chainEnd{}, &CorruptError{chain.HeadKey(), err}
	}
	return chainEnd{audit.HeadOf(r), rows[0].Version}, nil
}

// appendTxn returns the transaction that appends rows to the chain, the end after it and the rows with their keys and
// hashes. The transaction is applied only if the end is unchanged, so that two writers never fork a chain.
func appendTxn(e chainEnd, rows []*audit.Row, op ids.Operation) (platform.Txn, chainEnd, []*audit.Row) {
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
	return t, chainEnd{next, e.version + 1}, linked
}

func encode(r *audit.Row) []byte {
	value, err := proto.Marshal(r)
	if err != nil {
		panic(err) // Marshal fails only for text that is not valid UTF-8, and Record replaces that
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
