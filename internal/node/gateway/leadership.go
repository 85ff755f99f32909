package gateway

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// takeoverDelay is how long a call for the lease may stay without a response before a candidate leads without the
// lease; it is the time of several calls. Each further candidate contends for the lease later by the same delay, in
// case those before it can neither acquire it nor have a spare token.
const takeoverDelay = 150 * time.Millisecond

// leadership decides under which fencing token this gateway places experts. It does no I/O and reads no clock.
//
// Two concurrent leaders cannot mix maps: their versions differ by their tokens, a group pauses until all of its ranks
// are armed for the same version, and a rank refuses versions below the highest that it had. So the lease only prevents
// duplicate work, and a gateway whose token is newer than those of all others may lead without it.
//
// If the leader dies while the store is unreachable, no gateway can acquire the lease, and a group that it paused would
// wait until the store is back. The first candidates therefore allocate a spare token in advance.
type leadership struct {
	// fence is the token of this gateway's current or latest leadership, 0 before the first. spare is a token allocated
	// in advance.
	fence, spare ids.Fence
	// leaseFence is the fencing token of the newest lease that is known not to belong to a later leader.
	leaseFence ids.Fence
	// newestPeerFence is the highest token under which a peer is known to have led.
	newestPeerFence ids.Fence
	// leaderSeenAt is when a peer last led or this gateway was not a candidate, initially the time of the first call.
	leaderSeenAt time.Time
	// ignoreLeasesUntil is set when this gateway takes over a held group. Until then a newly seen lease counts as that of the
	// replaced leader: this gateway did not contend, so it has not seen that lease before. A later leader shows in digests.
	ignoreLeasesUntil time.Time
}

// electionInput is a gateway's state and that of its peers, from which it decides whether to lead.
type electionInput struct {
	// Ready is set if this gateway serves callers and is not leaving.
	Ready bool
	// HeldFence is the fencing token of the lease while this gateway holds it, else 0. SeenFence is the newest token
	// that the store showed for a lease of another gateway. A lease that this gateway acquired without receiving the
	// response does not count as a later leader's.
	HeldFence, SeenFence ids.Fence
	// PeerFence is the highest token under which a peer reports that it leads, 0 if none does.
	PeerFence ids.Fence
	// PendingFor is how long the current call for the lease has been without a response.
	PendingFor time.Duration
	// Position is this gateway's index among the candidates, 0 for the first. It is negative if a peer leads or this
	// gateway should not lead.
	Position int
	// Superseded is set if a peer has taken over a held group and leads under a newer token. This gateway then leaves it the
	// lease that it may still hold: to lead again at once would interrupt the undo of the switch.
	Superseded bool
	// LowerSpares counts the peers whose spare token is lower than this gateway's, and yet newer than those of all
	// leaders. They go first while the lease cannot be acquired: in the reverse order their tokens would be too old to
	// be used.
	LowerSpares int
}

// decide returns the token to lead under, or 0, and whether a spare token must be allocated now in order to lead.
func (l *leadership) decide(now time.Time, in electionInput) (fence ids.Fence, allocate bool) {
	l.newestPeerFence = max(l.newestPeerFence, in.PeerFence)
	l.leaseFence = max(l.leaseFence, in.HeldFence)
	l.noteLeader(now, in)
	if now.Before(l.ignoreLeasesUntil) {
		l.leaseFence = max(l.leaseFence, in.SeenFence)
	}
	switch {
	case !in.Ready:
		return 0, false
	case l.leads(in.SeenFence):
		return l.fence, false
	case !l.entitled(now, in):
		return 0, false
	case !l.spareIsNewest():
		return 0, true
	}
	l.takeOver(in.SeenFence)
	return l.fence, false
}

// takeOver makes the spare token, which must be newer than those of all leaders, the current one.
func (l *leadership) takeOver(seenFence ids.Fence) {
	l.fence, l.spare = l.spare, 0
	l.leaseFence = max(l.leaseFence, seenFence)
}

// leads reports whether the current token is still valid. It stays valid until a later leader is known, also after the
// lease has expired, as when the store is unreachable for this gateway or for all.
func (l *leadership) leads(seenFence ids.Fence) bool {
	return l.fence != 0 && l.fence >= l.newestPeerFence && l.leaseFence >= seenFence
}

func (l *leadership) entitled(now time.Time, in electionInput) bool {
	delay := takeoverDelay * time.Duration(1+in.LowerSpares)
	return in.HeldFence != 0 && !in.Superseded || in.Position >= 0 && in.PendingFor >= takeoverDelay && now.Sub(l.leaderSeenAt) >= delay
}

// noteLeader sets leaderSeenAt to now if a peer leads or this gateway is not a candidate, and on the first call.
func (l *leadership) noteLeader(now time.Time, in electionInput) {
	if in.Position < 0 || l.leaderSeenAt.IsZero() {
		l.leaderSeenAt = now
	}
}

// isTurn reports whether this gateway should contend for the lease now. The candidates follow each other by position,
// or by their spare tokens if that lets a gateway contend earlier.
func (l *leadership) isTurn(now time.Time, in electionInput) bool {
	position := in.Position
	if l.spareIsNewest() {
		position = min(position, in.LowerSpares)
	}
	return position >= 0 && now.Sub(l.leaderSeenAt) >= takeoverDelay*time.Duration(position)
}

func (l *leadership) spareIsNewest() bool { return l.spare > max(l.fence, l.newestPeerFence) }

// allocated records a newly allocated token.
func (l *leadership) allocated(n ids.Fence) { l.spare = max(l.spare, n) }

// observeNewer records that the maps of a later leader are in use.
func (l *leadership) observeNewer(newer ids.Fence) { l.newestPeerFence = max(l.newestPeerFence, newer) }
