// Package dispatch decides, for one service at one gateway, which upstream a request is sent to, when it waits and when
// it is refused. A gateway and an entry (package admission) are two kinds of node that both receive callers' requests;
// a deployment uses one of them.
//
// Pool is a pure state machine: it takes requests, outcomes and the current time, and returns the tickets that were
// decided. Gate makes a Pool safe for concurrent use. A request that cannot be placed waits in the gateway rather than
// at an upstream, because a request queued at an upstream can no longer be moved to another one or reordered behind
// requests that can still meet their target.
//
// A group is a set of upstreams that run one model together, in lockstep; a rank is an upstream that is a member of a
// group. A pass is one scheduling iteration of an engine. A slot, in this package, is an upstream's capacity for one
// request, not a slot process.
package dispatch
