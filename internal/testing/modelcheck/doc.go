// Command modelcheck checks the specifications in spec/ and each of their mutants with Spin.
//
// It is a developer tool (make model) and not part of any product binary: it starts spin, gcc and the compiled searches as
// child processes, which product processes must not do. spec/README.md describes the conventions for specifications.
package main
