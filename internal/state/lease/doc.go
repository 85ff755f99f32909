// Package lease decides when a node holds a duty that only one node at a time may have.
//
// # Rows
//
// `leases/DUTY` is written by the holder at each renewal. `fences/DUTY` is written only by a new holder, in the same
// transaction; its version is the fencing number, so numbers only grow, also if the lease row were lost.
//
// # Clocks
//
// No two clocks are compared. The holder counts from before it sent its last successful renewal, on its own monotonic
// clock, and stops a margin before the length is over. Another node counts from when it first saw the row as it is, on
// its own clock, and waits the length and a margin. So the holder has stopped first, unless clocks run at rates that
// differ by more than the margins, or the holder is paused between its check and its deed.
//
// # What stops a holder that was paused and wakes up past its lease
//
// Its check Held(now) fails as soon as it is made. A deed that was under way is stopped where it lands:
//
//   - a write of the table names FenceCheck, a check on the version of `fences/DUTY`: the table refuses it in the same
//     transaction once there is a new holder;
//   - an order to a slot carries the fencing number: FenceFilter refuses one that is lower than any seen; a restarted slot
//     reads the row of its orders first, whose number is at least that of any order given out;
//   - a proposal of an expert map needs every rank's acknowledgement, whatever the lease says (docs/design of the map);
//   - an object is named by its content's number and never overwritten.
//
// Holder is pure; package manager runs it against the table.
package lease
