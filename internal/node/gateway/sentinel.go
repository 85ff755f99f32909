package gateway

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

const (
	// minSentinels is the minimum number of sentinels, the gateways that follow the store: one may be dead while another
	// is partitioned from the store.
	minSentinels = 3
	// minFollowers is how many live peers must follow the store for a gateway that does not: of two, one may have lost the
	// store without having noticed yet.
	minFollowers = 2
	// followersGrace is how long a gateway tolerates too few peers that follow the store: another peer replaces one that
	// died or lost the store, and notifies all.
	followersGrace = 300 * time.Millisecond
	// maxReplicaLag is how long a replica may lack an announced change before the gateway calls the store itself:
	// several pulls from the nearest gateway and the sender of the digest.
	maxReplicaLag = 600 * time.Millisecond
)

// sentinel reports whether this gateway is a sentinel, one of the few gateways of its data centre that follow the store
// on behalf of the others: the first by rendezvous hash of the live gateways that can reach the store. Each gateway
// computes it independently; if the views of two differ for a moment, both follow the store.
func (p *peers) sentinel(now time.Time) bool {
	return slices.Contains(p.sentinels(p.live(now), false), p.g.Settings().Name)
}

// sentinels returns the names of the sentinels in this gateway's data centre, which is one of the candidates itself. The other
// candidates are the live peers that can reach the store, or all of them if withLost is set.
func (p *peers) sentinels(live []*peer, withLost bool) []string {
	own := p.g.Settings()
	names := []string{own.Name}
	centres := map[string]bool{string(own.DataCentre): true}
	for _, k := range live {
		centres[k.digest.GetDataCentre()] = true
		if ids.DataCentre(k.digest.GetDataCentre()) == own.DataCentre && (withLost || !k.lostStore()) {
			names = append(names, k.digest.GetNode())
		}
	}
	each := (minSentinels + len(centres) - 1) / len(centres)
	return lease.Candidates("store", names, each)
}

// lostStore reports whether the peer has lost the store for any table.
func (k *peer) lostStore() bool {
	return slices.ContainsFunc(k.digest.GetNews(), (*cardamomyokev1.TableNews).GetLost)
}

// relayed reports whether this gateway need not follow a table in the store, because it receives the changes from peers
// that do, or soon will.
//
// Without followersGrace, all gateways would call the store together when one that follows it dies or loses it.
func (p *peers) relayed(r *replica.Replica, now time.Time) bool {
	if p.joining(now) {
		return true
	}
	if p.sentinel(now) || p.replicaLag(r, now) > maxReplicaLag {
		return false
	}
	enough := p.countFollowers(r, now) >= minFollowers
	p.mu.Lock()
	defer p.mu.Unlock()
	if enough {
		p.followersSeenAt[r.Name()] = now
	}
	last := p.followersSeenAt[r.Name()]
	if began := p.startedAt.Add(joinPeriod); last.Before(began) {
		last = began
	}
	return now.Sub(last) < followersGrace
}

// countFollowers returns the number of live peers that follow a table in the store. A peer of an earlier era does not
// count: what it has tells this gateway nothing new.
func (p *peers) countFollowers(r *replica.Replica, now time.Time) int {
	own, _ := r.Position()
	relays := 0
	for _, k := range p.live(now) {
		if n := newsOf(k.digest, r.Name()); n.GetFollowing() && n.GetEra() >= own.Era {
			relays++
		}
	}
	return relays
}

// holderDead reports whether the given incarnation of a gateway is dead: it does not respond to probes, sent no message
// within the timeout, or has a later incarnation. A gateway that has just started reports false, as it has received no
// messages yet.
//
// A leader in a large deployment sends to all gateways, and its digests are late when it is busiest. The timeout is
// therefore scaled to the number of peers, and probes detect a death earlier.
//
// After a power failure each gateway sees only a few peers, and the holder of a duty may not be among them. Peer lists
// spread within a second, so unknownLeaderTimeout is enough for a holder without any message.
//
// A holder that leaves counts as dead once it leads no longer. If the store was down when it was stopped, the lease is still
// in its name, and nobody would lead until the lease has expired.
func (p *peers) holderDead(name string, holderIncarnation ids.Incarnation) bool {
	now := time.Now()
	if now.Sub(p.startedAt) < leaderTimeout {
		return false
	}
	if name == p.g.Settings().Name {
		return holderIncarnation != p.g.incarnation
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.byName[name]
	if k == nil {
		return now.Sub(p.startedAt) > unknownLeaderTimeout
	}
	if p.isolatedLocked(now) {
		return false
	}
	if now.Sub(k.lastSeen) > p.scaleTimeoutLocked(leaderTimeout) || p.detector.Dead(k.address()) {
		return true
	}
	return k.digest.GetIncarnation() > string(holderIncarnation) || k.leaves() && !k.leads()
}
