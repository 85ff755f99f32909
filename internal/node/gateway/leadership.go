package gateway

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// takeoverDelay is how long the store may take to answer before a candidate leads without the lease: some calls of it. Each
// further candidate begins to want the lease as much later, in case those before it can neither get it nor have a number.
const takeoverDelay = 150 * time.Millisecond

// leadership decides under which number this gateway places experts. It does no I/O and reads no clock.
//
// Two leaders at once cannot mix maps: their versions differ by their numbers, a group is held until all of its ranks are
// armed for the same version, and a rank refuses versions below the highest that it had. So the lease only keeps gateways
// from doing the same work twice, and whoever has a number that is later than all others' may lead without it.
//
// If the leader ends while the store is away, nobody can get the lease, and a group that it held waits until the store is
// back. The first candidates therefore draw a number ahead of need.
type leadership struct {
	// fence is what this gateway leads under or led under last, 0 before that; spare is one that was drawn ahead.
	fence, spare ids.Fence
	// leaseFence is the fencing number of the last lease that is known not to be a later leader's.
	leaseFence ids.Fence
	// newestPeerFence is the highest number that another gateway is known to have led under.
	newestPeerFence ids.Fence
	// leaderSeenAt is when another gateway was last heard to lead, or when this one began to listen.
	leaderSeenAt time.Time
}

// electionInput is what a gateway knows of itself and others as it decides whether to lead.
type electionInput struct {
	// Ready says that this gateway serves callers and is to go on doing so.
	Ready bool
	// HeldFence is the lease's fencing number while this gateway holds it, else 0; Seen is the newest that the store showed another
	// to have. A lease that this gateway got, and does not know of as the answer was lost, is no later leader's.
	HeldFence, SeenFence ids.Fence
	// PeerFence is the highest number under which another gateway says that it leads, 0 if none does.
	PeerFence ids.Fence
	// PendingFor is for how long the store has not answered the present call for the lease.
	PendingFor time.Duration
	// Position is this gateway's among those that should lead, 0 for the first; negative if it should not, or another one leads.
	Position int
	// LowerSpares counts the others that have a spare number which is lower than this one's, and yet later than all leaders'.
	// They go first while the lease cannot be had: in the other order their numbers would be too low for anybody to use.
	LowerSpares int
}

// decide returns the number to lead under, or 0, and whether a spare number is to be drawn now for that.
func (l *leadership) decide(now time.Time, in electionInput) (fence ids.Fence, allocate bool) {
	l.newestPeerFence = max(l.newestPeerFence, in.PeerFence)
	l.leaseFence = max(l.leaseFence, in.HeldFence)
	l.noteLeader(now, in)
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
	l.fence, l.spare = l.spare, 0
	l.leaseFence = max(l.leaseFence, in.SeenFence)
	return l.fence, false
}

// leads reports whether the present number is good until a later leader is known: also beyond the lease, as when the store
// is away for this gateway or for all.
func (l *leadership) leads(seenFence ids.Fence) bool {
	return l.fence != 0 && l.fence >= l.newestPeerFence && l.leaseFence >= seenFence
}

func (l *leadership) entitled(now time.Time, in electionInput) bool {
	delay := takeoverDelay * time.Duration(1+in.LowerSpares)
	return in.HeldFence != 0 || in.Position >= 0 && in.PendingFor >= takeoverDelay && now.Sub(l.leaderSeenAt) >= delay
}

// noteLeader takes in whether another gateway leads.
func (l *leadership) noteLeader(now time.Time, in electionInput) {
	if in.Position < 0 || l.leaderSeenAt.IsZero() {
		l.leaderSeenAt = now
	}
}

// isTurn reports whether this gateway should want the lease: those first that should lead, and those first that could lead
// without it.
func (l *leadership) isTurn(now time.Time, in electionInput) bool {
	position := in.Position
	if l.spareIsNewest() {
		position = min(position, in.LowerSpares)
	}
	return position >= 0 && now.Sub(l.leaderSeenAt) >= takeoverDelay*time.Duration(position)
}

func (l *leadership) spareIsNewest() bool { return l.spare > max(l.fence, l.newestPeerFence) }

// allocated takes in a number that was drawn.
func (l *leadership) allocated(n ids.Fence) { l.spare = max(l.spare, n) }

// observeNewer takes in that a later leader's maps are in use.
func (l *leadership) observeNewer(newer ids.Fence) { l.newestPeerFence = max(l.newestPeerFence, newer) }
