// Package quarantine measures how many upstreams a request takes down that crashes each one that runs it, and what that
// costs the requests beside it.
//
// Entries and slots are quarantine.Tracker and quarantine.Guard as in the processes. Digests between them come late
// and get lost, the poisonous request is sent through every entry at once and again as soon as it is answered, and
// upstreams also die for reasons of their own.
package quarantine
