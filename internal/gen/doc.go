// Package gen is the parent of the code that `make proto` generates from proto/. It is committed, so that the build
// needs no generator; the test here fails when the schema was changed without generating again.
package gen
