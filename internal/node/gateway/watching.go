package gateway

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

const (
	// leastSentinels is how many gateways in all follow the store at least: one may be gone and another cut off from the
	// store at the same time.
	leastSentinels = 3
	// leastRelays is how many gateways that follow the store must be heard by one that does not: of two, one may have been
	// turned away by the store and not noticed yet.
	leastRelays = 2
	// mostBehind is for how long a copy may lack a change that others have told of before the store is asked for it: some
	// pulls from the nearest gateway and the one that told.
	mostBehind = 600 * time.Millisecond
)

// sentinel reports whether this gateway is one that its data centre relies on for news of the store: one of the first by
// rendezvous hash of those that are live. Each works it out for itself; if two differ for a moment, two watch.
func (p *peers) sentinel(now time.Time) bool {
	own := p.g.Settings()
	names := []string{own.Name}
	centres := map[string]bool{string(own.DataCentre): true}
	for _, k := range p.live(now) {
		centres[k.digest.GetDataCentre()] = true
		if ids.DataCentre(k.digest.GetDataCentre()) == own.DataCentre {
			names = append(names, k.digest.GetNode())
		}
	}
	each := (leastSentinels + len(centres) - 1) / len(centres)
	return slices.Contains(lease.Candidates("store", names, each), own.Name)
}

// relayed reports whether this gateway hears of changes from others that follow the table in the store, and gets them.
func (p *peers) relayed(t *replica.Table, now time.Time) bool {
	if p.sentinel(now) || p.behind(t, now) > mostBehind {
		return false
	}
	relays := 0
	for _, k := range p.live(now) {
		for _, n := range k.digest.GetNews() {
			if n.GetTable() == t.Name() && n.GetFollowing() {
				relays++
			}
		}
	}
	return relays >= leastRelays
}

// ended reports whether another gateway's life is known to be over: it is not heard, or only a later life is. A gateway
// that has just started has not heard anyone yet.
//
// Failure: all gateways start again after a loss of power, and each knows a few others only. Each finds that the holder of
// a duty is none of them and takes it over: 18 of 41 led one after the other within 0.3 s. Names spread within a second,
// so that waiting this long for a holder that was never heard is enough.
func (p *peers) ended(name string, life ids.Incarnation) bool {
	now := time.Now()
	if now.Sub(p.began) < leaderSilent {
		return false
	}
	if name == p.g.Settings().Name {
		return life != p.g.incarnation
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[name]
	if k == nil {
		return now.Sub(p.began) > unknownFor
	}
	if now.Sub(k.heardAt) > leaderSilent {
		return true
	}
	return k.digest.GetIncarnation() > string(life)
}
