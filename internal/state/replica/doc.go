// Package replica holds copies of tables of the platform's store in a node's memory.
//
// Each node follows the store's feed. A node that is rejected by the store or cannot reach it gets changes from its
// peers: they gossip the version of their newest change, and the node pulls what it lacks. A copy only moves forward,
// whatever the source of an update.
package replica
