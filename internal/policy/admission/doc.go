// Package admission decides which requests an entry starts, in which sequence, and which it refuses. An entry is a node
// that callers send their requests to.
//
// There is one Queue for each pool of upstreams. A request is started if the pool has free capacity; otherwise it waits
// in the bounded queue of its priority class. The class with the lowest Priority is served first. Within a class, each
// client gets tokens of work in proportion to its share, whatever load the other clients send. As soon as a request can
// no longer be done before its deadline under the current load, it is refused as "not run" with a Retry-After. It is
// refused at that time, not at the deadline, so that the caller can try another server.
//
// Queue is pure and not safe for concurrent use; Gate wraps it with a mutex. Package limits enforces the clients'
// limits over all entries.
package admission
