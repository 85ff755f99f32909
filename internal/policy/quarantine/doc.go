// Package quarantine keeps a request that crashes each upstream that runs it from taking down one after the other.
//
// A slot outlives its upstream and reports which requests ran when it died, by fingerprint (client and body). A
// request that ran at one crash is a suspect: a slot runs one suspect at a time, so that the next crash points at one.
// At two crashes, or one at which nothing else ran, it has to run alone. If the upstream dies of that, the request is
// refused until an end time. A request that runs to its end is cleared.
//
// Evidence is a set that only grows and merges in any order, and the level of a request is a function of it, so that
// entries agree without talking to each other in turn. Tracker and Guard are pure: events and the time go in. Gate is
// the Guard for the goroutines of a slot.
package quarantine
