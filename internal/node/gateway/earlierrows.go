package gateway

import (
	"slices"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/registry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

const (
	// earlierPullInterval is the minimum time between two pulls of a table's rows of earlier eras. Peers drop these rows at
	// slightly different times, and must not pull them from each other with each digest meanwhile.
	earlierPullInterval = 300 * time.Millisecond
	// earlierCheckInterval is how often the tables are applied again while rows of the registry's earlier eras count, which
	// they do for a limited time, and earlierCheckMargin for how long beyond that.
	earlierCheckInterval = 100 * time.Millisecond
	earlierCheckMargin   = time.Second
	// eraAgeUnit is the unit of an era's age in digests.
	eraAgeUnit = 100 * time.Millisecond
)

// catchUpEarlier pulls a table's rows of earlier eras from a peer of the same era that has others than this gateway. A
// gateway that starts after the store came back older learns in this way what was in force before.
func (p *peers) catchUpEarlier(f *replica.Follower, sender *cardamomyokev1.Digest, n *cardamomyokev1.TableNews) {
	own, _ := f.Replica.Position()
	if n.GetEra() != own.Era {
		return
	}
	f.Replica.ObserveEraAge(n.GetEra(), time.Duration(n.GetEraAgeTenths())*eraAgeUnit)
	if n.GetEarlier() == 0 || n.GetEarlier() == f.Replica.EarlierFingerprint() || !p.earlierPullDue(f.Replica.Name()) {
		return
	}
	p.startPull(f.Replica.Name(), func() { p.pullFrom(f, sender) })
}

// earlierPullDue reports whether rows of earlier eras may be pulled again, and records the pull.
func (p *peers) earlierPullDue(table string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.earlierPulledAt[table]) < earlierPullInterval {
		return false
	}
	p.earlierPulledAt[table] = now
	return true
}

// recordPulled records that a peer has sent a table of an era, with the rows of earlier eras that this gateway did not have.
func (p *peers) recordPulled(table string, era uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pulledEra[table] = max(p.pulledEra[table], era)
}

// lacksEarlierRows reports whether a peer announces rows of earlier eras of a table that no peer has sent yet.
func (p *peers) lacksEarlierRows(k *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range k.digest.GetNews() {
		if n.GetEarlier() != 0 && p.pulledEra[n.GetTable()] < n.GetEra() {
			return true
		}
	}
	return false
}

// inEarlierEra reports whether a peer announces a table of an era before the given one.
func inEarlierEra(d *cardamomyokev1.Digest, era uint64) bool {
	return slices.ContainsFunc(d.GetNews(), func(n *cardamomyokev1.TableNews) bool { return n.GetEra() < era })
}

func encodeEarlierRows(rows []replica.EarlierRow) []*cardamomyokev1.EarlierRow {
	out := make([]*cardamomyokev1.EarlierRow, 0, len(rows))
	for _, e := range rows {
		out = append(out, &cardamomyokev1.EarlierRow{
			Row: tableRow(e.Change), Era: e.Era, OverEra: e.Over.Era, OverVersion: e.Over.Version,
		})
	}
	return out
}

func earlierRowsOf(rows []*cardamomyokev1.EarlierRow) []replica.EarlierRow {
	out := make([]replica.EarlierRow, 0, len(rows))
	for _, r := range rows {
		over := platform.Position{Era: r.GetOverEra(), Version: r.GetOverVersion()}
		out = append(out, replica.EarlierRow{Change: changeOf(r.GetRow(), r.GetEra()), Over: over})
	}
	return out
}

// checkEarlierRows applies the tables again while rows of earlier eras may stop to count. It runs on the control loop.
func (g *Gateway) checkEarlierRows(now time.Time) {
	if now.Sub(g.control.earlierCheckedAt) < earlierCheckInterval {
		return
	}
	g.control.earlierCheckedAt = now
	if g.earlierRowsMayEnd(g.registryFollower.Replica) || g.evacuates() && g.earlierRowsMayEnd(g.configFollower.Replica) {
		g.applyTables(now)
	}
}

// earlierRowsMayEnd reports whether a table has rows of earlier eras that may stop to count.
func (g *Gateway) earlierRowsMayEnd(r *replica.Replica) bool {
	limit := earlierCheckMargin + registry.HoldTime(g.Settings().Bounds.heartbeat())
	return r.EarlierFingerprint() != 0 && r.EraAge() < limit
}
