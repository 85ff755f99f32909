// Package revision decides, on every node, when a change of the configuration is accepted and whether the node may take
// new work.
//
// # Stages of a change
//
// An operator's change becomes a log entry in the platform's table (package store). It is committed when the conditional
// write of the head row succeeds, and a committed log entry is never revoked. Every node stages it (holds it, but not in
// force), acknowledges it, and puts it in force when it learns that the log entry is accepted. The log entry is accepted
// when every member of the roster holds it or cannot take new work without it. The roster is part of the log.
//
// # Freshness
//
// A node takes new work only until a deadline, View.FreshUntil. The deadline is Options.StaleAfter after the newest moment
// for which one of two conditions held:
//
//   - A read of the head row began, by this node or by one of its ancestors in the tree, and this node holds every log
//     entry that was committed then.
//   - A majority of the members of the node's data centre, or of all members, acknowledged a heartbeat and held no later
//     log entry. This keeps traffic going while the table is down.
//
// A node that meets neither condition stops by itself. A dead or isolated host therefore delays acceptance by StaleAfter
// plus an eighth. A partition that may go on serving by a majority delays acceptance until its acknowledgements arrive or
// its nodes are removed from the roster.
//
// # Message tree
//
// Members form a tree defined by the order of Roster. A node without a parent is an origin. Heartbeats start at an origin
// once a second, and immediately when there is an update, and travel down the tree. Acknowledgements travel up, and each
// covers all nodes of its subtree with one bit per member. See docs/design/configuration.md for the alternatives and the
// measurements.
//
// # Use
//
// Node is pure: events and time in, effects out. Package agent runs it in a process: create one with agent.New, mount
// agent.Handler on the process's control port, call Tick from the control loop every 50 ms, and let request handlers read
// agent.View(), an immutable snapshot. For each request an entry process reads `v := agent.View()`, refuses with
// failure.CodeStaleRevision unless v.Fresh(now), and sends v.Current().Revision() along. A slot refuses a request before
// it starts unless v.Admits(revision, now).
package revision
