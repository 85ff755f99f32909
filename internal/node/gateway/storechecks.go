package gateway

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// StoreChecks says which gateways call the store while it is away.
type StoreChecks string

const (
	// StoreChecksEach: each gateway does. It is the default.
	StoreChecksEach StoreChecks = "each"
	// StoreChecksShared: a few do on behalf of the others, if the store is away for most gateways.
	StoreChecksShared StoreChecks = "shared"
)

// mechanismStoreChecks: a few gateways call the store on behalf of the others while it is away.
const mechanismStoreChecks dispatch.Mechanism = "shared-store-checks"

func (c StoreChecks) check() error {
	if c != "" && c != StoreChecksEach && c != StoreChecksShared {
		return &settings.KeyError{Path: "$.store_checks", Want: "each or shared", Got: string(c)}
	}
	return nil
}

// delegatesStoreChecks reports whether this gateway leaves it to others to find out when the store is back. They do while the store
// is away for most gateways, as far as this gateway hears them.
//
// Without that, all gateways call an unavailable store at the same rate as each of them alone would, and the calls that find it
// back come all at once.
func (p *peers) delegatesStoreChecks(r *replica.Replica, now time.Time) bool {
	if p.g.Settings().StoreChecks != StoreChecksShared || p.g.disabled(mechanismStoreChecks) {
		return false
	}
	live := p.live(now)
	lost := countLostStore(live)
	delegates := !p.joining(now) && p.othersCheckStore(r, live, lost, now)
	p.logDelegation(r.Name(), delegates, lost, len(live))
	return delegates
}

func countLostStore(live []*peer) int {
	lost := 0
	for _, k := range live {
		if k.lostStore() {
			lost++
		}
	}
	return lost
}

// othersCheckStore reports whether the store is away for most of the live peers, and this gateway is not one of those that call it.
func (p *peers) othersCheckStore(r *replica.Replica, live []*peer, lost int, now time.Time) bool {
	// A gateway that hears few of the others may be partitioned from them, and nobody else would tell it of the store.
	if 2*lost <= len(live) || 2*len(live) < p.known() {
		return false
	}
	return p.countFollowers(r, now) < minFollowers && !slices.Contains(p.sentinels(live, true), p.g.Settings().Name)
}

// logDelegation logs that this gateway begins or ends to leave calls of the store to others.
func (p *peers) logDelegation(table string, delegates bool, lost, live int) {
	p.mu.Lock()
	changed := p.delegates[table] != delegates
	p.delegates[table] = delegates
	p.mu.Unlock()
	if changed {
		_ = level.Info(p.g.logger).Log("msg", "store checks", "table", table, "delegated", delegates, "peers_without_store", lost, "peers", live)
	}
}

// known returns the number of other gateways that are remembered.
func (p *peers) known() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byName)
}
