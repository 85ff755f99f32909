// Package claims measures what requests that may not be repeated cost the platform's table: transactions a second
// against claims a second, and how long a claim waits, with and without group commit.
//
// It drives claims.Ledger, the same code as in a slot, with seeded arrivals and a virtual clock over a table in memory
// whose latency is drawn.
package claims
