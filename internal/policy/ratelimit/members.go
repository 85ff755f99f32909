package ratelimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// extraOwners is the number of gateways that send to an upstream with a limit below one request a second; each
	// request a second of the limit adds one.
	//
	// Each of these gateways may save up one request. If all gateways had a part, hundreds of them could send their one
	// request at the same moment to an upstream that accepts one a second. With these few, all that is saved up is two
	// requests more than a second of the limit.
	extraOwners = 2
	// minPerSecond replaces a lower limit. Only a response shows that an upstream's limit has risen or ended, so even an
	// upstream that accepts nothing gets a request now and then.
	minPerSecond = 0.2
)

// Members is the set of gateways that divide limits, from the view of one of them. It is immutable.
type Members struct {
	self   uint64
	hashes []uint64
}

// NewMembers returns the members with the names; self is the name of this gateway, which has no part if it is not among
// them.
func NewMembers(self string, names []string) Members {
	m := Members{self: xxhash.Sum64String(self)}
	for _, n := range names {
		m.hashes = append(m.hashes, xxhash.Sum64String(n))
	}
	slices.Sort(m.hashes)
	m.hashes = slices.Compact(m.hashes)
	return m
}

// Equal reports whether the sets are equal.
func (m Members) Equal(o Members) bool { return m.self == o.self && slices.Equal(m.hashes, o.hashes) }

// Len returns the number of members.
func (m Members) Len() int { return len(m.hashes) }

// Owns reports whether this gateway is one of the first members, by rendezvous hashing, for an upstream.
func (m Members) Owns(upstream uint32, owners int) bool {
	return m.position(upstream) < min(owners, len(m.hashes))
}

// Share returns the requests per second that this gateway may send to an upstream with a limit; upstream is the hash of
// the upstream's incarnation.
//
// The owners of an upstream are the first by rendezvous hashing, so all gateways with the same members agree on them
// without a message, and a member that joins or leaves changes only its own parts.
func (m Members) Share(upstream uint32, limit float64) float64 {
	limit = max(limit, minPerSecond)
	owners := min(len(m.hashes), extraOwners+int(limit))
	if owners == 0 || m.position(upstream) >= owners {
		return 0
	}
	return limit / float64(owners)
}

// position returns how many members come before this gateway for an upstream; the number of members if it is not one.
func (m Members) position(upstream uint32) int {
	own := weight(m.self, upstream)
	before, found := 0, false
	for _, h := range m.hashes {
		switch cmp.Compare(weight(h, upstream), own) {
		case 1:
			before++
		case 0:
			found = true
		}
	}
	if !found {
		return len(m.hashes)
	}
	return before
}

// weight mixes the hashes of a gateway and an upstream with the finalizer of MurmurHash3.
func weight(gateway uint64, upstream uint32) uint64 {
	x := gateway ^ uint64(upstream)<<32 ^ uint64(upstream)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
