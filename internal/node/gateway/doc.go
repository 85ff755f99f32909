// Package gateway takes callers' requests and sends them straight to upstreams.
//
// A gateway is an entry for deployments in which no slot stands beside an upstream. It follows the operators'
// configuration and the registry of upstreams in the platform's store (package replica), exchanges digests with the
// other gateways, and answers callers that ask which addresses to use. What headers and paths are called on the wire is
// the business of a Dialect.
//
// Each request works from one view: an immutable snapshot of configuration and upstreams. Whether and where a request
// is sent again is decided by attempts.go, from what is proved about the attempt before; everything else is transport.
package gateway
