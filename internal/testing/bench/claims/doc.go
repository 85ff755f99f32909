// Package claims measures the load that requests with an idempotency claim put on the platform's table: transactions
// per second by claim rate, and the waiting time of a claim, with and without group commit.
//
// It runs claims.Ledger, the code of the slot, in virtual time with seeded random arrivals, over an in-memory table with
// random latency.
package claims
