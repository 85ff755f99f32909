// Package liveness decides which members of a group of peers are dead. It does no I/O and reads no clock: alive
// messages and the time are passed in, and the probes to send are returned.
//
// Each member starts a probe round for one other member per probeInterval, chosen at random from those that it has not
// received a message from recently; rounds without a reply overlap. A member that does not reply is probed again, also
// indirectly through some relays, so that neither a lost datagram nor a broken link between two members makes one of
// them dead. A death declaration and its refutation are gossiped, as rumors, in the digests that members send anyway.
// Neither the time until all members know of a death nor the number of datagrams that a member sends for it depends on
// the size of the group.
package liveness
