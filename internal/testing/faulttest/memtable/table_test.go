package memtable_test

import (
	"errors"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

// tables are the implementations of the platform's table for tests. They must not differ, or a test passes with one and not with the
// other.
func tables() map[string]platform.Table {
	return map[string]platform.Table{"memory": memtable.New(nil), "stand-in": standin.NewStore(standin.Limits{})}
}

// Guards against a late transaction that is applied because a row was deleted and written again with the version that it had.
func TestVersionsOfDeletedRowsAreNotReused(t *testing.T) {
	for name, table := range tables() {
		t.Run(name, func(t *testing.T) {
			put := func(version uint64, value []byte) error {
				_, err := table.Commit(t.Context(), platform.Txn{
					Operation: ids.NewOperation(), Checks: []platform.Check{{Key: "k", Version: version}}, Puts: []platform.Put{{Key: "k", Value: value}},
				})
				return err
			}
			if err := put(0, []byte("a")); err != nil {
				t.Fatal(err)
			}
			if err := put(1, nil); err != nil {
				t.Fatal(err)
			}
			if err := put(0, []byte("b")); err != nil {
				t.Fatal(err)
			}
			var conflict *platform.ConflictError
			if err := put(1, []byte("late")); !errors.As(err, &conflict) {
				t.Fatalf("a transaction on the first row's version: %v", err)
			}
		})
	}
}

// Guards against transactions without an operation id that are taken for repetitions of the first one.
func TestTransactionsWithoutOperationAreAllApplied(t *testing.T) {
	for name, table := range tables() {
		t.Run(name, func(t *testing.T) {
			for _, value := range []string{"a", "b"} {
				if _, err := table.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: "k", Value: []byte(value)}}}); err != nil {
					t.Fatal(err)
				}
			}
			rows, err := table.Get(t.Context(), "k")
			if err != nil || string(rows[0].Value) != "b" {
				t.Fatalf("got %q, %v", rows[0].Value, err)
			}
		})
	}
}
