// Package audit holds the rows that a regulator can be shown, and the chains of hashes that show that none was removed
// or changed. It is pure: writer puts rows in the platform's table, cardamomyokectl verifies them.
//
// There are three sorts of chains; docs/design/audit.md says why:
//
//   - ChangesChain: one row for each entry of the configuration log, written by whichever entry comes first.
//   - RegisterChain: one row for each chain of a node, so that a whole chain cannot go missing.
//   - one chain for each life of a node, named by its incarnation: what that node did and when.
//
// Each chain has a head row with its length and last hash, so that its end cannot be cut off unnoticed.
package audit
