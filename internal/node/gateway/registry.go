package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/registry"
)

// maxFindings is how many findings about entries are logged at one change of the registry; a writer that fills it with
// thousands of entries must not fill the log, too.
const maxFindings = 20

// readUpstreams makes the list of upstreams from the copy of the registry.
func (g *Gateway) readUpstreams(now time.Time) *catalog.Upstreams {
	var services map[ids.Service]*catalog.Service
	if g.control.config != nil {
		services = g.control.config.Services
	}
	next, findings := g.control.entries.Update(g.registry.Replica.Rows(), services)
	g.processFindings(findings, now)
	g.logUpstreams(g.control.upstreams, next)
	return next
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
		_ = level.Warn(g.logger).Log("msg", "more findings about entries", "not_logged", more)
	}
}

// logUpstreams logs what differs between two lists.
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

// reject leaves out the entry of an upstream at whose address another one answered, on the control loop.
func (g *Gateway) reject(u *catalog.Upstream, answered ids.Upstream, now time.Time) {
	if !g.control.entries.Reject(u.Incarnation()) {
		return
	}
	_ = level.Warn(g.logger).Log("msg", "upstream left out", "reason", "another one answers at its address", "upstream", u.Incarnation(),
		"address", u.Address, "answered", answered, "entry_version", u.Version)
	g.reload(now)
}
