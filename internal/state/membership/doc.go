// Package membership tracks the other nodes, which of them are live, and to which of them this node sends digests.
//
// There is no full mesh: 360 entries and 780 slots that all received digests from each other would need a hundred
// times the byte budget of Options. A slot sends digests to a few entries, chosen by rendezvous hash, mostly in its
// own data centre; an entry routes to the slots whose digests it receives. Entries send digests to their neighbours on
// a ring in their data centre and to a few entries in other data centres, so that each entry sends to and receives
// from about the same number of others.
//
// A node is added by the roster of the configuration log, by seeds from the settings or by its digests, so that any one
// of these may be missing: the table may be unavailable, the host list may lag. The state of a node comes only from its
// own digests, ordered by incarnation and sequence: any newer digest refutes a suspicion, and a late digest of an
// earlier incarnation changes nothing.
//
// MemberList is pure; the control goroutine owns it.
package membership
