package catalog

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// requirements are what the routes to a service require of it.
type requirements struct {
	priorities []int
	targetGap  time.Duration
}

// Priorities returns the priorities of the routes to a service, most urgent first. The caller must not change the list.
//
// Those of accounts do not count: an account may go ahead of others at any service, which says nothing about kinds of requests
// that compete.
func (c *Configuration) Priorities(s ids.Service) []int { return c.requirements[s].priorities }

// TargetGap returns the shortest target for the longest pause among the routes to a service; 0 if none has one.
func (c *Configuration) TargetGap(s ids.Service) time.Duration { return c.requirements[s].targetGap }

// indexRequirements collects the requirements of all services once, as there may be many routes and the registry changes often.
func (c *Configuration) indexRequirements() {
	out := map[ids.Service]requirements{}
	for _, list := range c.routes {
		for _, r := range list {
			for _, s := range r.destinations() {
				q := out[s]
				q.priorities = append(q.priorities, r.Priority)
				if r.TargetGap > 0 && (q.targetGap == 0 || r.TargetGap < q.targetGap) {
					q.targetGap = r.TargetGap
				}
				out[s] = q
			}
		}
	}
	for s, q := range out {
		q.priorities = distinct(q.priorities)
		out[s] = q
	}
	c.requirements = out
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
