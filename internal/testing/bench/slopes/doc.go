// Package slopes measures how what each role holds, sends and computes grows with what drives it.
//
// An Experiment drives the code of the processes at four sizes or more and gives one or more figures for each. A line
// is fitted to each figure; the fit, its residual and the value at the target's size are written as JSON. There is no
// simulated network: messages are those that the packages make, encoded as on the wire, and the clock is either
// virtual (membership, leases, claims) or that of this machine (agents, RPC, timings).
//
// Check compares a new run with a committed one: counted figures must agree within a few percent, times within a
// factor, since they depend on the machine and on what else runs there.
package slopes
