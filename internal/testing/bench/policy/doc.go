// Package policy compares routing, admission and retries under load with their baselines, on the same arrivals.
//
// It runs the policy packages of the processes, which have no input, output or clock of their own, in virtual time. A
// trace and small models of the runners, the upstreams of one model service, drive them. There is no network: a virtual
// clock delivers a runner's tokens to the entry immediately and requests after the one-way delay. Load reports, cache
// events and the usage reports between entries arrive late; load reports and cache events can also get lost.
package policy
