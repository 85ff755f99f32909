package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/registry"
)

// maxFindings is how many findings about registry entries are logged per change; a writer that fills the registry with
// thousands of entries must not flood the log as well.
const maxFindings = 20

// readUpstreams builds the list of upstreams from the replica of the registry.
func (g *Gateway) readUpstreams(now time.Time) *catalog.Upstreams {
	var services map[ids.Service]*catalog.Service
	if g.control.config != nil {
		services = g.control.config.Services
	}
	r := g.registryFollower.Replica
	earlier, age := r.Earlier()
	table := registry.Table{Rows: r.Rows(), Earlier: earlier, EraAge: age, Heartbeat: g.Settings().Bounds.heartbeat()}
	next, findings, settled := g.control.validEntries.UpdateTable(table, services)
	r.Forget(settled)
	g.processFindings(findings, now)
	g.recordTakenAddresses(g.control.upstreams, next, now)
	g.logUpstreams(g.control.upstreams, next)
	return next
}

// recordTakenAddresses records the addresses of upstreams that are new.
func (g *Gateway) recordTakenAddresses(before, after *catalog.Upstreams, now time.Time) {
	for _, u := range after.All() {
		if before.Get(u.ID) == nil {
			g.suspects.addressTaken(u, now)
		}
	}
}

func (g *Gateway) processFindings(findings []registry.Finding, now time.Time) {
	for i, f := range findings {
		if f.Kind == registry.Restarted {
			g.suspects.upstreamRestarted(f.Previous, now)
		}
		if i < maxFindings {
			_ = level.Warn(g.logger).Log("msg", f.Kind, "entry", f.Key, "version", f.Version, "life", f.Incarnation, "before", f.Previous, "err", f.Err)
		}
	}
	if more := len(findings) - maxFindings; more > 0 {
		_ = level.Warn(g.logger).Log("msg", "further registry findings not logged", "not_logged", more)
	}
}

// logUpstreams logs the differences between two lists of upstreams.
func (g *Gateway) logUpstreams(before, after *catalog.Upstreams) {
	for _, u := range after.All() {
		old := before.Get(u.ID)
		if old == nil || old.State != u.State || old.StartedAtMS != u.StartedAtMS {
			_ = level.Info(g.logger).Log("msg", "upstream", "upstream", u.Incarnation(), "service", u.Service, "address", u.Address, "state", u.State)
		}
	}
	for _, u := range before.All() {
		if after.Get(u.ID) == nil {
			_ = level.Info(g.logger).Log("msg", "upstream", "upstream", u.Incarnation(), "service", u.Service, "state", "gone")
		}
	}
}

// reject excludes the registry entry of an upstream at whose address another upstream responded. It runs on the control
// loop.
func (g *Gateway) reject(u *catalog.Upstream, responder ids.Upstream, now time.Time) {
	g.suspects.upstreamReplaced(u.Incarnation(), now)
	if !g.control.validEntries.Reject(u.Incarnation()) {
		return
	}
	_ = level.Warn(g.logger).Log("msg", "registry entry rejected", "reason", "another upstream responds at its address", "upstream", u.Incarnation(),
		"address", u.Address, "answered", responder, "entry_version", u.Written)
	g.applyTables(now)
}
