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
	// maxStandbys is how many gateways keep a spare fencing token, so that one of them can lead immediately while the
	// store is unreachable. The leader is one of them, and others may die before the store is back.
	maxStandbys = 5
	// allocateInterval is the maximum time between two attempts to allocate a spare token; allocateTimeout bounds one
	// attempt.
	allocateInterval = 500 * time.Millisecond
	allocateTimeout  = 2 * time.Second
)

// electionInput collects this gateway's state and that of its peers for the decision whether to lead.
func (e *experts) electionInput(now time.Time, c candidates) electionInput {
	in := electionInput{
		Ready:      e.g.control.ownState == stateReady,
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
	in.Superseded = e.g.watchesHolds() && in.PeerFence > e.election.fence
	return in
}

// wantsLease reports whether this gateway should contend for the lease: it leads already, or no peer does and it is
// this gateway's turn.
func (e *experts) wantsLease(now time.Time, in electionInput) bool {
	e.election.noteLeader(now, in)
	return in.Ready && (e.fence.Load() > 0 || e.election.isTurn(now, in))
}

// position returns this gateway's index among the candidates. It is negative if a peer leads, there is no group, or
// this gateway is joining or isolated.
func (e *experts) position(c candidates) int {
	if c.hasLeader || !e.anyGroup() || e.joiningOrIsolated(time.Now()) {
		return -1
	}
	return slices.Index(c.names, e.g.Settings().Name)
}

// joiningOrIsolated reports whether this gateway has too little information about its peers to contend
// for a duty.
func (e *experts) joiningOrIsolated(now time.Time) bool {
	return e.g.peers.joining(now) || e.g.peers.isolated(now)
}

// candidates holds the gateways that may lead, this gateway included; the first should lead first. hasLeader is set if
// a peer leads.
type candidates struct {
	names     []string
	hasLeader bool
}

// candidates returns this gateway and all recently seen peers that are not leaving, those with the most processor time
// first, as the duty takes a tenth of a core.
//
// In a large deployment each gateway receives a digest of a given peer only now and then. The timeout is therefore
// scaled, and peers that have not yet reported that they are ready count as well. Otherwise each gateway would find a
// different first candidate, and several would lead or allocate tokens concurrently.
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

// needsSpare reports whether a standby has no spare token newer than those of all known leaders.
func (e *experts) needsSpare() bool {
	return !e.g.disabled(mechanismStandby) && !e.election.spareIsNewest()
}

// isStandby reports whether this gateway is among the first candidates to lead.
func (e *experts) isStandby(now time.Time, c candidates) bool {
	if e.g.control.ownState != stateReady || e.joiningOrIsolated(now) || !e.anyGroup() {
		return false
	}
	return slices.Contains(c.names[:min(maxStandbys, len(c.names))], e.g.Settings().Name)
}

// allocateDue reports whether a spare token may be allocated now. It spreads the allocations of the standbys at random:
// of several tokens allocated at the same moment only the newest can be used. If a token may be allocated, it also
// schedules the next allocation; the first call only schedules.
func (e *experts) allocateDue(now time.Time) bool {
	first := e.allocateAt.IsZero()
	if !first && now.Before(e.allocateAt) {
		return false
	}
	e.allocateAt = now.Add(rand.N(allocateInterval))
	return !first
}

// allocateFence requests a fencing token from the store, one call at a time.
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
				_ = level.Info(e.g.logger).Log("msg", "cannot allocate a fencing token", "duty", expertsDuty, "err", err)
				return
			}
			e.election.allocated(n)
		})
	}()
}
