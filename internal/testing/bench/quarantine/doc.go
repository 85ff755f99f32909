// Package quarantine measures how many upstreams a poisonous request crashes and how that affects all other requests. A
// poisonous request crashes each upstream that runs it.
//
// Entries run quarantine.Tracker and slots quarantine.Guard, as in the processes, in virtual time. Digests between them
// are delayed and can get lost. The poisonous request is sent through all entries concurrently and resent after each
// response. Upstreams can also crash for other reasons.
package quarantine
