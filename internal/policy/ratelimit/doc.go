// Package ratelimit divides the request rate that an upstream accepts from all gateways together.
//
// Book holds the limits that upstreams state, from this gateway's own responses and from peers. Members decides which
// gateways send to a limited upstream, and what part of the limit each of them has. Bucket keeps one part. The package
// has no I/O and no clock.
package ratelimit
