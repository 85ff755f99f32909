// Package claims makes a request to a service that is not repeatable run at most once.
//
// Before such a request starts, its slot writes a claim, a row for the client and idempotency key, in the platform's
// table, on condition that there is none. Whoever finds the row taken answers from it: with the stored outcome, with
// "running" or with "outcome unknown", and never starts the request a second time. Claims and outcomes that are due
// together share one transaction.
//
// Ledger is the decision core: events and the time go in, effects come out, without I/O, clock or goroutine. Its
// claims follow the chart claim.yaml. Store runs a Ledger against a platform.Table. Sweeper removes what has expired.
//
// The rules that hold it together:
//
//   - A claim starts only after the table said that this attempt on this slot process holds the row, and only before
//     its deadline.
//   - A write whose answer was lost is sent again under the same operation, which the table applies at most once. Once
//     the last claim of the transaction has been refused, an empty transaction is sent under the same operation: it
//     either takes the operation's place, so that the late original does nothing, or reports that it was applied.
//   - A claim that was refused as "not run" never starts, however late its write takes effect.
package claims
