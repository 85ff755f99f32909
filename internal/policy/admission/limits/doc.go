// Package limits holds a client's limits, in requests and tokens a second, over all entries together.
//
// Each entry counts what its callers ask for, admitted or not, and tells it once a second to the client's aggregator:
// the live entry that rendezvous hashing names for that client, soft state that any entry can take over. The
// aggregator answers with the sum. An entry then grants its part of the limit: its own demand over the sum of demands.
// Parts are taken from demand and not from what was admitted, because admitted work swings with the limit itself, and
// all entries would stop and start together.
//
// An entry that hears no aggregator keeps the others' last demand for Options.Hold, so that a short cut changes
// nothing; after that it counts the others as gone and grants the whole limit. Cut into k parts for longer than that,
// a client that uses every part can get up to k times its limit.
package limits
