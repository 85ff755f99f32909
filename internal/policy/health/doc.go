// Package health decides which upstreams of a service an entry may use and how much of its normal share each one gets.
// The share of an upstream that returns from a fault grows in a ramp. A slot is the process on the host of an upstream
// that runs requests on it and reports its state.
//
// A Tracker processes slot reports, the host list and the outcomes of attempts, and runs the state chart
// internal/base/charts/upstream.yaml for each incarnation of an upstream. It distinguishes three faults that look alike
// to a client: a silent upstream (no message arrives), a stalled one (its slot reports, but its engine has work and
// takes no step) and a slow one (it takes steps, but much more slowly than peers with at least as much work). The
// number of upstreams ejected at a time is capped and the worst are ejected first, because an entry that sees most
// upstreams as faulty is more likely to be at fault itself. The package is pure: the control goroutine owns the Tracker
// and passes in the time.
package health
