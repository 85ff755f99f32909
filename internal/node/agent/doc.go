// Package agent contains the agent, a small process on the same host as a rank of a model group, and its client for
// gateways.
//
// A rank is one engine of a model group, which runs a model together with the other ranks. A read of a rank's counts
// from another host makes the whole group pause. A read or an order from the rank's own host does not, and the read
// returns fresh data. The agent has only caches, so it can crash and restart at any time; the client reaches the rank
// directly meanwhile.
package agent
