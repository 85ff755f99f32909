package gateway

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// takeOverAfter is how long the store may take to answer before a candidate leads without the lease: some calls of it. Each
// further candidate begins to want the lease as much later, in case those before it can neither get it nor have a number.
const takeOverAfter = 150 * time.Millisecond

// leadership decides under which number this gateway places experts. It does no I/O and reads no clock.
//
// Two leaders at once cannot mix maps: their versions differ by their numbers, a group is held until all of its ranks are
// armed for the same version, and a rank refuses versions below the highest that it had. So the lease only keeps gateways
// from doing the same work twice, and whoever has a number that is later than all others' may lead without it.
//
// If the leader ends while the store is away, nobody can get the lease, and a group that it held waits until the store is
// back. The first candidates therefore draw a number ahead of need.
type leadership struct {
	// number is what this gateway leads under or led under last, 0 before that; spare is one that was drawn ahead.
	number, spare ids.Fence
	// lease is the fencing number of the last lease that is known not to be a later leader's.
	lease ids.Fence
	// newest is the highest number that another gateway is known to have led under.
	newest ids.Fence
	// ledAt is when another gateway was last heard to lead, or when this one began to listen.
	ledAt time.Time
}

// rivals is what a gateway knows of itself and others as it decides whether to lead.
type rivals struct {
	// Ready says that this gateway serves callers and is to go on doing so.
	Ready bool
	// Held is the lease's fencing number while this gateway holds it, else 0; Seen is the newest that the store showed another
	// to have. A lease that this gateway got, and does not know of as the answer was lost, is no later leader's.
	Held, Seen ids.Fence
	// Heard is the highest number under which another gateway says that it leads, 0 if none does.
	Heard ids.Fence
	// PendingFor is for how long the store has not answered the present call for the lease.
	PendingFor time.Duration
	// Place is this gateway's among those that should lead, 0 for the first; negative if it should not, or another one leads.
	Place int
	// Lower counts the others that have a spare number which is lower than this one's, and yet later than all leaders'.
	// They go first while the lease cannot be had: in the other order their numbers would be too low for anybody to use.
	Lower int
}

// decide returns the number to lead under, or 0, and whether a spare number is to be drawn now for that.
func (l *leadership) decide(now time.Time, r rivals) (number ids.Fence, draw bool) {
	l.newest = max(l.newest, r.Heard)
	l.lease = max(l.lease, r.Held)
	l.note(now, r)
	switch {
	case !r.Ready:
		return 0, false
	case l.leads(r.Seen):
		return l.number, false
	case !l.entitled(now, r):
		return 0, false
	case !l.spareIsNewest():
		return 0, true
	}
	l.number, l.spare = l.spare, 0
	l.lease = max(l.lease, r.Seen)
	return l.number, false
}

// leads reports whether the present number is good until a later leader is known: also beyond the lease, as when the store
// is away for this gateway or for all.
func (l *leadership) leads(seen ids.Fence) bool {
	return l.number != 0 && l.number >= l.newest && l.lease >= seen
}

func (l *leadership) entitled(now time.Time, r rivals) bool {
	alone := takeOverAfter * time.Duration(1+r.Lower)
	return r.Held != 0 || r.Place >= 0 && r.PendingFor >= takeOverAfter && now.Sub(l.ledAt) >= alone
}

// note takes in whether another gateway leads.
func (l *leadership) note(now time.Time, r rivals) {
	if r.Place < 0 || l.ledAt.IsZero() {
		l.ledAt = now
	}
}

// turn reports whether this gateway should want the lease: those first that should lead, and those first that could lead
// without it.
func (l *leadership) turn(now time.Time, r rivals) bool {
	place := r.Place
	if l.spareIsNewest() {
		place = min(place, r.Lower)
	}
	return place >= 0 && now.Sub(l.ledAt) >= takeOverAfter*time.Duration(place)
}

func (l *leadership) spareIsNewest() bool { return l.spare > max(l.number, l.newest) }

// allocated takes in a number that was drawn.
func (l *leadership) allocated(n ids.Fence) { l.spare = max(l.spare, n) }

// outdated takes in that a later leader's maps are in use.
func (l *leadership) outdated(newer ids.Fence) { l.newest = max(l.newest, newer) }
