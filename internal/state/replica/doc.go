// Package replica holds copies of tables of the platform's store in a node's memory.
//
// A few nodes, the sentinels, follow the store's feed, so that they notice soon when the store stops responding. The
// other nodes, and those that the store rejects or that cannot reach it, get changes from their peers: nodes gossip
// the version of their newest change, and a node pulls what it lacks. A node that has too few such peers follows the
// feed itself. A copy only moves forward, whatever the source of an update.
package replica
