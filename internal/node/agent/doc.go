// Package agent is the small process beside a rank of a model group, and the client of it.
//
// Reading a rank from its own host costs nothing and is fresh, and its orders are free there; from another host each
// count read makes the whole group pause. The agent keeps no state, so it can die and come back at any time: the client
// then reaches the rank directly.
package agent
