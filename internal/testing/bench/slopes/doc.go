// Package slopes measures how the memory, messages and processor time of each role grow with the size of a deployment.
//
// An Experiment runs code of the processes at four or more sizes of one driver and returns one or more figures for each
// size. A line is fitted to each figure; the fit, its residual and the value at the target size are written as JSON.
// There is no simulated network: the packages' own messages are encoded as on the wire. The clock is either virtual
// (membership, leases, claims) or that of the machine (agents, RPC, timings).
//
// Check compares a new run with a committed one within a factor that depends on the Kind of a figure: a few percent for
// exact counts, more for figures that depend on the machine and its other load.
package slopes
