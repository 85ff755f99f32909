package gateway

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease/manager"
)

const (
	// maxStandbys is how many gateways have a number ready, so that one may lead at once although the store is away: the leader
	// is one of them, and others may end before the store is back.
	maxStandbys = 5
	// allocateInterval is the most time between two tries to draw a number ahead, allocateTimeout bounds one.
	allocateInterval = 500 * time.Millisecond
	allocateTimeout  = 2 * time.Second
)

// electionInput is what this gateway knows of itself and others that may lead.
func (e *experts) electionInput(now time.Time, c candidates) electionInput {
	in := electionInput{
		Ready:      e.g.control.node == stateReady,
		SeenFence:  e.leases.NewestFenceOfOthers(expertsDuty),
		PendingFor: e.leases.PendingFor(now, expertsDuty),
		Position:   e.position(c),
	}
	if held := e.leases.Held(expertsDuty); held.ValidAt(now) {
		in.HeldFence = held.Fence
	}
	for _, p := range e.g.peers.live(now) {
		in.PeerFence = max(in.PeerFence, ids.Fence(p.digest.GetExpertsFence()))
		if spare := ids.Fence(p.digest.GetExpertsSpare()); spare > e.election.newestPeerFence && spare < e.election.spare {
			in.LowerSpares++
		}
	}
	return in
}

// wantsLease reports whether this gateway should have the lease: it leads already, or no other does and it is its turn.
func (e *experts) wantsLease(now time.Time, in electionInput) bool {
	e.election.noteLeader(now, in)
	return in.Ready && (e.fence.Load() > 0 || e.election.isTurn(now, in))
}

// position is this gateway's among the candidates, negative if another leads, there is nothing to lead, or this one is new or
// alone.
func (e *experts) position(c candidates) int {
	if c.hasLeader || !e.anyGroup() || e.joiningOrIsolated(time.Now()) {
		return -1
	}
	return slices.Index(c.names, e.g.Settings().Name)
}

// joiningOrIsolated reports whether this gateway knows too little of the others to take a duty.
func (e *experts) joiningOrIsolated(now time.Time) bool {
	return e.g.peers.joining(now) || e.g.peers.isolated(now)
}

// candidates are the gateways that are ready or about to be, those first that should lead first, this one among them; led
// says that another one leads.
type candidates struct {
	names     []string
	hasLeader bool
}

// candidates puts the hosts with the most processor time first, as the duty takes a tenth of a core.
//
// Among many gateways each hears another only now and then. Those that have just not been heard still count, and so do those
// that have not said yet that they are ready, or each gateway finds another one first, and several lead or draw numbers at
// once.
func (e *experts) candidates(now time.Time) candidates {
	c := candidates{}
	own := e.g.Settings().Name
	millis := map[string]uint32{own: e.g.Settings().Limits.cpuMillis()}
	timeout := e.g.peers.scaleTimeout(leaderTimeout)
	for _, p := range e.g.peers.live(now) {
		if now.Sub(p.lastSeen) > timeout {
			continue
		}
		c.hasLeader = c.hasLeader || p.leads()
		if p.digest.GetState() != cardamomyokev1.NodeState_NODE_STATE_LEAVING {
			millis[p.digest.GetNode()] = p.digest.GetCpuMillis()
		}
	}
	c.names = lease.Candidates(expertsDuty, slices.Collect(maps.Keys(millis)), len(millis))
	slices.SortStableFunc(c.names, func(a, b string) int { return cmp.Compare(millis[b], millis[a]) })
	return c
}

// needsSpare reports whether a gateway that leads next still needs a number that is later than those of all leaders.
func (e *experts) needsSpare() bool {
	return !e.g.disabled(mechanismStandby) && !e.election.spareIsNewest()
}

// isStandby reports whether this gateway is one of those that lead next.
func (e *experts) isStandby(now time.Time, c candidates) bool {
	if e.g.control.node != stateReady || e.joiningOrIsolated(now) || !e.anyGroup() {
		return false
	}
	return slices.Contains(c.names[:min(maxStandbys, len(c.names))], e.g.Settings().Name)
}

// allocateDue spreads the draws of numbers that are not needed yet: of those drawn at one moment only the last can be used.
func (e *experts) allocateDue(now time.Time) bool {
	first := e.allocateAt.IsZero()
	if !first && now.Before(e.allocateAt) {
		return false
	}
	e.allocateAt = now.Add(rand.N(allocateInterval))
	return !first
}

// allocateFence gets a number from the store, one call at a time.
func (e *experts) allocateFence() {
	if e.allocating {
		return
	}
	e.allocating = true
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, allocateTimeout)
		defer cancel()
		n, err := manager.AllocateFence(ctx, e.table, expertsDuty)
		e.g.loop.Post(func(time.Time) {
			e.allocating = false
			if err != nil {
				_ = level.Info(e.g.logger).Log("msg", "no number drawn", "duty", expertsDuty, "err", err)
				return
			}
			e.election.allocated(n)
		})
	}()
}
