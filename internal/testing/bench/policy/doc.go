// Package policy measures the decisions under load: routing, admission and retries, each beside its baselines on the
// same arrivals in one run.
//
// It drives the pure packages that the processes use with a trace, a clock and small models of the runners, in virtual
// time. There is no network in it: an event queue delivers what a runner does to the entry that waits for it, and
// delays only what is late by nature: load reports, cache events and the usage that entries exchange.
package policy
