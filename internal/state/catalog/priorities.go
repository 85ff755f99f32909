package catalog

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Priorities returns the priorities that requests of a service may have: those of its routes and, where routes need a key, those
// that accounts have instead. It may list a priority more than once.
func (c *Configuration) Priorities(s ids.Service) []int {
	var out []int
	keyed := false
	for _, r := range c.routesTo(s) {
		out = append(out, r.Priority)
		keyed = keyed || c.NeedsKey(r)
	}
	if !keyed {
		return out
	}
	for _, a := range c.accounts {
		if a.HasPriority {
			out = append(out, a.Priority)
		}
	}
	return out
}

// TargetGap returns the shortest target for the longest pause among the routes to a service; 0 if none has one.
func (c *Configuration) TargetGap(s ids.Service) time.Duration {
	shortest := time.Duration(0)
	for _, r := range c.routesTo(s) {
		if r.TargetGap > 0 && (shortest == 0 || r.TargetGap < shortest) {
			shortest = r.TargetGap
		}
	}
	return shortest
}

// routesTo returns the routes whose requests may go to a service.
func (c *Configuration) routesTo(s ids.Service) []*Route {
	var out []*Route
	for _, list := range c.routes {
		for _, r := range list {
			for _, d := range r.Services {
				if d.Service == s && (d.Weight > 0 || len(r.Services) == 1) {
					out = append(out, r)
				}
			}
		}
	}
	return out
}
