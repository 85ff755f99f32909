// Package quarantine prevents a request that crashes its upstream from crashing one upstream after another.
//
// A slot is the process on the host of an upstream that runs requests on it; it keeps running when its upstream
// crashes. It reports the requests that were running at that moment, by fingerprint (client and body). A request that
// was running at one crash is a suspect: a slot runs only one suspect at a time, so that the next crash implicates only
// one. After two crashes, or one crash at which nothing else was running, the request has to run alone. If the upstream
// crashes then, the request is refused until an end time. A request that runs to completion is cleared.
//
// The evidence is a set that only grows and that can be merged in any sequence, and the level of a request is a
// function of it, so that entries agree without coordination. Tracker and Guard are pure: events and the time are
// passed in. Gate makes the Guard usable by the goroutines of a slot.
package quarantine
