package catalog

import (
	"slices"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Priorities returns the priorities of the routes to a service, most urgent first. The caller must not change the list.
//
// Those of accounts do not count: an account may go ahead of others at any service, which says nothing about kinds of requests
// that compete.
func (c *Configuration) Priorities(s ids.Service) []int { return c.priorities[s] }

// indexPriorities collects the priorities of all services once, as there may be many routes and the registry changes often.
func (c *Configuration) indexPriorities() {
	out := map[ids.Service][]int{}
	for _, list := range c.routes {
		for _, r := range list {
			for _, s := range r.destinations() {
				out[s] = append(out[s], r.Priority)
			}
		}
	}
	for s, list := range out {
		out[s] = distinct(list)
	}
	c.priorities = out
}

// destinations returns the services that requests of the route may go to: those with a weight, or the first one if none has.
func (r *Route) destinations() []ids.Service {
	var out []ids.Service
	for _, d := range r.Services {
		if d.Weight > 0 {
			out = append(out, d.Service)
		}
	}
	if len(out) == 0 && len(r.Services) > 0 {
		out = append(out, r.Services[0].Service)
	}
	return out
}

// distinct sorts a list and removes duplicates.
func distinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}
