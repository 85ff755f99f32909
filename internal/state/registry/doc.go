// Package registry decides which entries of the platform's registry name upstreams that may be used.
//
// Anyone may write to the registry, upstreams rewrite their entries some tenths of a second late, and a restart may keep its
// id. The package does no I/O and reads no clock: rows and what upstreams proved go in, the list of upstreams and what is to
// be logged come out.
package registry
