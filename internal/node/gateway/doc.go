// Package gateway receives callers' requests and sends them directly to upstreams.
//
// A gateway is an entry for deployments in which no slot runs on the hosts of the upstreams. It follows the operators'
// configuration and the registry of upstreams in the platform's store (package replica), exchanges digests with the
// other gateways, and serves callers a directory of gateway addresses. A Dialect defines the names of header fields and
// paths on the wire.
//
// A few gateways, the sentinels, follow the store directly; the others get its changes from them. One gateway, the
// leader, has the duty to place the experts of all model groups (package lockstep). A model group is a set of upstreams,
// its ranks, that run one model together in passes: all ranks begin each pass together and wait for the slowest.
//
// Each request works from one view, an immutable snapshot of configuration and upstreams. run.go decides whether a
// request is sent again, from what is proved about the previous attempt; package dispatch selects the upstream.
package gateway
