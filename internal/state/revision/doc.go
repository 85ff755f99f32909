// Package revision decides when a change of the configuration is accepted, and whether a node may take new work.
//
// # Life of a change
//
// An operator's change becomes an entry of a log in the platform's table (package store): it is committed when the
// conditional write of the head row succeeds, and never taken back. Every node stages it (holds it, out of force),
// acknowledges it, and puts it in force when it hears that it is accepted. It is accepted when every member of the
// roster holds it, or cannot take new work without it. The roster is part of the log.
//
// # Freshness
//
// A node takes new work only until a deadline, FreshUntil of its View, which is Options.StaleAfter after a moment at which
// one of two things was so: a read of the head row began, by this node or by one that it hears from, and the node holds
// all that was committed then; or a majority of its data centre's members, or of all, answered a beat and held no later
// entry. The second keeps traffic going while the table is down. A node that reaches neither stops by itself, so a dead
// or isolated host holds acceptance back for StaleAfter and an eighth; a part that is cut off but may serve on by a majority
// holds it back until it is heard, or is removed from the roster.
//
// # Spread
//
// Members form a tree by the order of Roster. Beats run down it once a second, and at once with news; acknowledgements
// run up it, each speaking for all nodes below as one bit a member. See docs/design/configuration.md for what was
// weighed and the figures.
//
// # Use
//
// Node is pure: events and time in, effects out. Package agent runs it in a process: build one with agent.New, mount
// agent.Handler on the process's RPC port, call Tick from the control loop each 50 ms, and let traffic read
// agent.View(), an immutable snapshot. For each request an entry takes `v := agent.View()`, refuses with
// failure.CodeStaleRevision unless v.Fresh(now), and sends v.Current().Revision() along; a slot refuses before it
// starts unless v.Admits(revision, now).
package revision
