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
	// minSentinels is how many gateways in all follow the store at least: one may be gone and another cut off from the
	// store at the same time.
	minSentinels = 3
	// minRelays is how many gateways that follow the store must be heard by one that does not: of two, one may have been
	// turned away by the store and not noticed yet.
	minRelays = 2
	// relayGrace is for how long a gateway goes on without enough others that follow the store: another one takes the place of
	// one that ended or was turned away, and tells all.
	relayGrace = 300 * time.Millisecond
	// maxBehind is for how long a copy may lack a change that others have told of before the store is asked for it: some
	// pulls from the nearest gateway and the one that told.
	maxBehind = 600 * time.Millisecond
)

// sentinel reports whether this gateway is one that its data centre relies on for news of the store: one of the first by
// rendezvous hash of those that are live and that the store answers. Each works it out for itself; if two differ for a
// moment, two watch.
func (p *peers) sentinel(now time.Time) bool {
	own := p.g.Settings()
	names := []string{own.Name}
	centres := map[string]bool{string(own.DataCentre): true}
	for _, k := range p.live(now) {
		centres[k.digest.GetDataCentre()] = true
		if ids.DataCentre(k.digest.GetDataCentre()) == own.DataCentre && !k.lostStore() {
			names = append(names, k.digest.GetNode())
		}
	}
	each := (minSentinels + len(centres) - 1) / len(centres)
	return slices.Contains(lease.Candidates("store", names, each), own.Name)
}

// lostStore reports whether the store does not answer a gateway for some table.
func (k *peer) lostStore() bool {
	return slices.ContainsFunc(k.digest.GetNews(), (*cardamomyokev1.TableNews).GetLost)
}

// relayed reports whether this gateway hears of changes from others that follow the table in the store, and gets them, or may
// soon.
//
// When a gateway that followed the store ends or is turned away, all others would call the store at once.
func (p *peers) relayed(r *replica.Replica, now time.Time) bool {
	if p.joining(now) {
		return true
	}
	if p.sentinel(now) || p.replicaLag(r, now) > maxBehind {
		return false
	}
	enough := p.relays(r, now) >= minRelays
	p.mu.Lock()
	defer p.mu.Unlock()
	if enough {
		p.relaysAt[r.Name()] = now
	}
	last := p.relaysAt[r.Name()]
	if began := p.startedAt.Add(joinPeriod); last.Before(began) {
		last = began
	}
	return now.Sub(last) < relayGrace
}

// relays counts the gateways that follow a table in the store.
func (p *peers) relays(r *replica.Replica, now time.Time) int {
	relays := 0
	for _, k := range p.live(now) {
		for _, n := range k.digest.GetNews() {
			if n.GetTable() == r.Name() && n.GetFollowing() {
				relays++
			}
		}
	}
	return relays
}

// holderDead reports whether another gateway's life is known to be over: it does not answer, is not heard, or only a later life
// is. A gateway that has just started has not heard anyone yet.
//
// A leader of many tells all of them, and is late with it when it is busiest. That it does not answer is what counts then.
//
// After a loss of power each gateway knows a few others only, and the holder of a duty is none of them. Names spread within a
// second, so that waiting this long for a holder that was never heard is enough.
func (p *peers) holderDead(name string, life ids.Incarnation) bool {
	now := time.Now()
	if now.Sub(p.startedAt) < leaderTimeout {
		return false
	}
	if name == p.g.Settings().Name {
		return life != p.g.incarnation
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
	return k.digest.GetIncarnation() > string(life)
}
