package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpserver"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// maxPeersWait is how long after its start a gateway waits for what its peers know and the store does not show. A peer that
// does not deliver it must not keep the gateway from serving.
const maxPeersWait = 1500 * time.Millisecond

// updateConfiguration puts the newest configuration in force if it is newer than the current one.
func (g *Gateway) updateConfiguration(now time.Time) {
	c := g.newestConfiguration()
	current := g.control.config
	if c == nil || current != nil && c.Revision <= current.Revision {
		return
	}
	g.control.awaitsPeers = current == nil && g.peers.awaitsPeers(c.Revision, now)
	if !g.control.awaitsPeers {
		g.adopt(c)
	}
}

// newestConfiguration decodes the newest configuration that the store shows or had acknowledged before it came back older;
// nil if there is none. It drops rows of earlier eras that are no longer newer.
func (g *Gateway) newestConfiguration() *catalog.Configuration {
	r := g.configFollower.Replica
	newest := g.decodeConfiguration(r.Rows())
	earlier, _ := r.Earlier()
	var settled []replica.EarlierRow
	for _, e := range earlier {
		if g.isEvacuation(e.Row) {
			continue
		}
		c := g.decodeEarlierConfiguration(e)
		if c == nil || newest != nil && c.Revision <= newest.Revision {
			settled = append(settled, e)
			continue
		}
		newest = c
	}
	r.Forget(settled)
	return newest
}

func (g *Gateway) decodeEarlierConfiguration(e replica.EarlierRow) *catalog.Configuration {
	if e.Removed {
		return nil
	}
	return g.decodeConfiguration([]platform.Row{e.Row})
}

func (g *Gateway) decodeConfiguration(rows []platform.Row) *catalog.Configuration {
	c, err := g.decoder.Configuration(rows)
	if err == nil {
		return c
	}
	if err.Error() != g.control.configurationError {
		g.control.configurationError = err.Error()
		_ = level.Error(g.logger).Log("msg", "keeping the previous configuration", "reason", "the new one cannot be decoded", "err", err)
	}
	return nil
}

// adopt puts a configuration in force.
func (g *Gateway) adopt(c *catalog.Configuration) {
	before := ids.Revision(0)
	if g.control.config != nil {
		before = g.control.config.Revision
	}
	g.control.config = c
	if g.control.ownState == stateStarting {
		g.control.ownState = stateReady
	}
	g.servers.callers.SetLimits(httpserver.Limits{
		MaxUnreadBytes: maxUnreadBytes,
		MaxUnreadTotal: g.Settings().Limits.memoryBytes() / unreadMemoryShare,
		MaxHeaderBytes: c.Limits.HeaderBytes,
		MaxBodyBytes:   c.Limits.BodyBytes,
		MaxConnections: maxConnections,
		ReadTimeout:    settings.Duration(c.Limits.HeaderTimeout),
		IdleTimeout:    settings.Duration(c.Limits.IdleTimeout),
		WriteTimeout:   settings.Duration(writeTimeout),
	})
	_ = level.Info(g.logger).Log("msg", "configuration in force", "version", c.Revision, "before", before, "routes", c.Routes())
}

// awaitsPeers reports whether a gateway that has just started, and got the configuration with the revision from the store,
// should wait for what its peers know from earlier eras of the store: none that serves has been heard yet, or one has a newer
// configuration in force, or rows that this gateway lacks, or has not noticed yet that the store came back.
//
// If the gateway starts after the store came back older, and before operators and upstreams have written the lost rows again,
// callers would otherwise see an older configuration than was in force, and requests go to upstreams that have left. A store
// that names no era has not come back older.
func (p *peers) awaitsPeers(revision ids.Revision, now time.Time) bool {
	at, _ := p.g.configFollower.Replica.Position()
	uptime := now.Sub(p.startedAt)
	if at.Era == 0 || uptime >= maxPeersWait {
		return false
	}
	serving := 0
	for _, k := range p.live(now) {
		serves := k.digest.GetRevision() > 0
		if ids.Revision(k.digest.GetRevision()) > revision || p.lacksEarlierRows(k) || serves && inEarlierEra(k.digest, at.Era) {
			return true
		}
		if serves {
			serving++
		}
	}
	return serving == 0 && uptime < joinPeriod && p.hasOtherSeeds()
}

// hasOtherSeeds reports whether the settings name another gateway.
func (p *peers) hasOtherSeeds() bool {
	set := p.g.Settings()
	for _, a := range set.Peers {
		if a != set.Listen.Peers {
			return true
		}
	}
	return false
}
