// Package membership knows which other nodes there are, which of them are live, and whom to send digests to.
//
// There is no full mesh: 360 entries and 780 slots that all heard of each other would need a hundred times the budget.
// A slot tells a few entries of itself, chosen by rendezvous hash, those of its own data centre first; an entry routes
// to the slots that it hears. Entries tell their neighbours on a ring in their data centre, and a few further away, so
// that each is known to equally many others.
//
// Nodes become known through the roster of the configuration log, through seeds from the settings and through digests,
// so that any one of these may be missing: the table may be down, the host list may lag. What is known of a node's
// life comes from its own digests alone, ordered by incarnation and sequence: a suspicion is refuted by any newer
// digest, and a late one of an earlier life changes nothing.
//
// MemberList is pure; the control goroutine owns it.
package membership
