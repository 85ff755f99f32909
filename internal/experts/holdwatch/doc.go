// Package holdwatch decides when a standby takes over from a leader that has gone silent while it held a group.
//
// A leader that stalls between holding a group and releasing it stops all ranks of the group. Without this package, its
// successor waits for the timeouts of digests and of the lease. The package does no I/O and reads no clock.
package holdwatch
