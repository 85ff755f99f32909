// Package dispatch decides, for one service at one gateway, which upstream a request goes to, when it waits, and when
// it is refused.
//
// Pool is pure: requests, outcomes and the time go in, tickets that are settled come out. Gate is a Pool for the
// goroutines of requests. A request that cannot be placed waits in the gateway and not at an upstream: there it could
// no longer go elsewhere, nor behind a request that still can be answered in time.
package dispatch
