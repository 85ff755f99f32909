// Package rebalance implements the duty of the entry that holds a group's lease: it collects reports from the group's
// ranks, has package placement decide on the expert map, and switches the group to the new map with package expertmap.
// Entries use these three packages for groups whose slots control each engine's steps; gateways use package lockstep.
//
// Any entry can hold the lease; none is reserved for it. The state of a holder is soft: its successor starts its
// estimates anew and reads the map in force from the ranks. A holder that was paused beyond its lease does no harm:
// the safety of a switch does not depend on the lease (see package expertmap), and each map is stored under its own
// name.
package rebalance
