// Package limits enforces a client's limits, in requests and tokens per second, over all entries together. An entry is
// a node that callers send their requests to.
//
// Each entry measures the demand of its callers, admitted or not, and reports it once per second to the client's
// aggregator: the live entry that rendezvous hashing assigns to the client. The aggregator's state is soft state, so
// any entry can take over. The aggregator replies with the sum. Each entry then grants its share of the limit: its own
// demand over the sum of demands. Shares are computed from demand and not from admitted work, because admitted work
// oscillates with the limit itself, and all entries would stop and start together.
//
// An entry that gets no reply from the aggregator uses the others' last demand for Options.HoldFor, so that a short
// partition changes nothing. After that it ignores the others and grants the full limit. While the network is split
// into k partitions for longer than that, a client that uses all of them can get up to k times its limit.
package limits
