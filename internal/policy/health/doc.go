// Package health decides which upstreams of a service an entry may use, and for how much of their share.
//
// A Tracker takes in what slots report, what the host list says and how attempts ended, and follows the state chart
// internal/base/charts/upstream.yaml for each life of an upstream. It tells three faults apart that look alike to a caller:
// a silent upstream (nothing is heard), a stalled one (its slot is heard, but its engine takes no step while it has
// work) and a slow one (it steps, but much slower than peers with as much work). Of these only as many are ejected at
// once as the cap allows, worst first, because an entry that sees most upstreams as faulty is more likely to be at
// fault itself. The package is pure: the control goroutine owns the Tracker and passes in the time.
package health
