// Package rebalance is the duty of the entry that holds a group's lease: it asks the group's ranks what they did, has
// package placement decide, and leads the group to the new map with package expertmap.
//
// Any entry can hold the lease and none is set aside. What a holder forgets when it ends is soft: its successor starts
// its estimates anew and takes the map in force from the ranks. A holder that was paused past its lease does no harm:
// the switch rests on no lease (see package expertmap), and a map is only ever stored under a name of its own.
package rebalance
