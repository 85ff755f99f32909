// Package admission decides which requests an entry starts, in which order, and which it refuses.
//
// One Queue stands before each pool of upstreams. A request is started as long as the pool has a place for it, else
// it waits in the bounded queue of its priority class. A lower rank goes first; within a class, clients take turns so
// that each gets tokens of work in proportion to its share, whatever the others send. As soon as a request cannot be
// done before its deadline with the present load, it is refused as "not run", with the time after which it is worth
// coming back. It is refused then and not when the deadline comes, so that the caller can turn elsewhere.
//
// Queue is pure and belongs to one goroutine; Gate puts a mutex around it for traffic goroutines. Package limits
// holds the clients' limits over all entries.
package admission
