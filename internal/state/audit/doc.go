// Package audit defines the audit rows that can be shown to a regulator, and the hash chains that prove that no row was
// removed or changed. It does no I/O: package writer writes rows to the platform's table, cardamomyokectl verifies
// them.
//
// There are three kinds of chains; docs/design/audit.md gives the reasons:
//
//   - ChangesChain has one row for each log entry of the configuration. The first entry process that notices the log entry
//     writes the row.
//   - RegisterChain has one row for each chain of a node, so that removing a full chain is detected.
//   - Each incarnation of a node has a chain, named by the incarnation, that records what the node did and when.
//
// Each chain has a head row with its length and last hash, so that truncating the chain is detected.
package audit
