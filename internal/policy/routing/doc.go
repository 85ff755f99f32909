// Package routing holds what every balancing policy shares: the state of an upstream as one entry sees it, the live
// count of what that entry has in flight there, and the contract of a picker.
//
// The control goroutine builds a Picker from the newest state of the upstreams of one service and publishes it;
// traffic goroutines call Pick without a lock. A picker never changes, but the Work and the prefix.Table that its
// upstreams point to outlive it and are atomic, so that a pick sees what was sent a microsecond ago even though the
// upstream's own report lags by hundreds of milliseconds. Policies live in one package each: expectedwait is the one
// in use; roundrobin, leastrequests and randomtwo are the baselines.
package routing
