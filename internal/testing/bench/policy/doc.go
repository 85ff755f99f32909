// Package policy compares routing, admission and retries under load with their baselines, on the same arrivals.
//
// It runs the pure policy packages of the processes in virtual time, driven by a trace and by small models of the
// runners. There is no network: a virtual clock delivers a runner's tokens to the entry immediately and requests after
// the one-way delay. Load reports, cache events and the usage reports between entries arrive late; load reports and
// cache events can also get lost.
package policy
