// Package dispatch decides, for one service at one gateway, which upstream a request is sent to, when it waits and when
// it is refused.
//
// Pool is a pure state machine: it takes requests, outcomes and the current time, and returns the tickets that were
// decided. Gate makes a Pool safe for concurrent use. A request that cannot be placed waits in the gateway rather than
// at an upstream, because a request queued at an upstream can no longer be moved to another one or reordered behind
// requests that can still meet their target.
package dispatch
