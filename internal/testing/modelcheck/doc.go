// Command modelcheck runs the specifications in spec/ and each of their mutants through Spin.
//
// It is a developer's tool (make model) and no part of a product binary: it starts spin, gcc and the searches as
// child processes, which no process of the product may do. spec/README.md has the convention for specifications.
package main
