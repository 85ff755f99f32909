// Package claims ensures that a request to a non-repeatable service runs at most once.
//
// Before such a request starts, its slot inserts a claim into the platform's table: a row for the client and the
// idempotency key, written on condition that the row does not exist. If the row exists, the slot responds from it, with
// the stored outcome, with "running" or with "outcome unknown", and never starts the request a second time. Claims and
// outcomes that are due at the same time share one transaction.
//
// Ledger is a pure state machine: it receives events and the time and returns effects, without I/O, clock or goroutine.
// Its claims follow the chart claim.yaml. Store runs a Ledger against a platform.Table. Sweeper deletes expired claims.
//
// Correctness depends on three rules:
//
//   - A request starts only after the table confirmed that this attempt on this slot process holds the row, and only
//     before its deadline.
//   - A transaction whose response was lost is sent again with the same operation id, which the table applies at most
//     once. Once every claim of the transaction has been refused, an empty transaction is sent with the same operation
//     id. It either fences the operation, so that the delayed original has no effect, or reports that the original was
//     applied.
//   - A claim that was refused as "not run" never starts, however late its write takes effect.
package claims
