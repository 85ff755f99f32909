// Package agent contains the agent, a small process on the same host as a rank of a model group, and its client for
// gateways.
//
// A local read of a rank costs nothing and returns fresh data, and local orders cost nothing either. A read of the
// counts from another host makes the whole group pause. The agent has only caches, so it can crash and restart at any
// time; the client reaches the rank directly meanwhile.
package agent
