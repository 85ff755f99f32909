// Package routing holds what all balancing policies share: an entry's view of an upstream, the live count of the work
// that the entry has in flight there, and the Picker interface. A policy chooses, for an entry, the upstream of each
// request.
//
// The control goroutine builds a Picker from the newest state of a service's upstreams and publishes it; traffic
// goroutines call Pick without a lock. A picker is immutable, but the Work and the prefix.BlockSet that its upstreams
// point to outlive it and are atomic. So a pick sees work that was sent a microsecond ago, although the upstream's own
// report lags by hundreds of milliseconds. Each policy has a package of its own: expectedwait is the production policy;
// roundrobin, leastrequests and randomtwo are baselines.
package routing
