// Package lease decides when a node holds a duty: a task, such as the control of a model group's expert map, that at most
// one node at a time may carry out. The holder of the duty's lease is that node.
//
// # Rows
//
// The holder writes `leases/DUTY` at each renewal. Only a new holder writes `fences/DUTY`, in the same transaction; the
// version of that row is the fencing token. Tokens therefore only grow, even if the lease row is lost.
//
// # Clocks
//
// The clocks of two nodes are never compared. The holder counts from before it sent its last successful renewal, on its own
// monotonic clock, and stops a margin before the length of the lease has passed. Another node counts from when it first saw
// the row in its present version, on its own clock, and waits for the length plus a margin. So the holder stops first,
// unless the clock rates differ by more than the margins or the holder is paused between its check and its action.
//
// # Fencing of a holder that resumes after its lease has expired
//
// Its check HeldLease.ValidAt(now) fails as soon as it runs. An action that was in flight is rejected at its destination:
//
//   - A table write includes FenceCheck, a condition on the version of `fences/DUTY`. The table rejects the transaction once
//     there is a new holder.
//   - An order to a slot carries the fencing token. FenceFilter rejects an order whose token is lower than any seen before. A
//     restarted slot first reads the row `orders/UPSTREAM`, whose token is at least that of every order issued to that
//     upstream.
//   - A proposal of an expert map needs every rank's acknowledgement, independently of the lease (docs/design/expert-map.md).
//   - The object of an expert map is named by the map's version and the hash of its content, and is never overwritten.
//
// Contender is pure; package manager runs it against the table.
package lease
