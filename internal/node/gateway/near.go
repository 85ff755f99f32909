package gateway

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// near returns how requests of a service prefer upstreams in the gateway's data centre; nil if they do not.
//
// The preference needs delays between data centres. It is limited to deployments that have classes or evacuations, so
// that others are served as before.
func near(c *catalog.Configuration, s *catalog.Service, set *Settings) *dispatch.Near {
	if s.Engine == nil || len(s.Engine.Delays) == 0 || set.Bounds.Evacuate == 0 && len(c.Priorities(s.Name)) < 2 {
		return nil
	}
	out := &dispatch.Near{DataCentre: set.DataCentre, Delays: map[ids.DataCentre]time.Duration{}}
	for _, d := range s.Engine.Delays {
		if d.From == set.DataCentre {
			out.Delays[d.To] = d.Delay
		}
	}
	return out
}
