// Package replica keeps copies of tables of the platform's store in a node's memory.
//
// Each node follows the store's feed. A node that the store turns away, or that cannot reach it, learns what changed
// from other nodes: they tell the version of the newest change that they know, and it pulls what it lacks. A copy only
// moves forward, whichever way news come.
package replica
