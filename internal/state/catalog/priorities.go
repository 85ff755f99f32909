package catalog

import (
	"slices"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// requirements are what the routes to a service and the accounts require of it.
type requirements struct {
	priorities []int
	targetGap  time.Duration
}

// Priorities returns the priorities that requests of a service may have, most urgent first: those of its routes and, where routes
// need a key, those that accounts have instead. The caller must not change the list.
func (c *Configuration) Priorities(s ids.Service) []int { return c.requirements[s].priorities }

// TargetGap returns the shortest target for the longest pause among the routes to a service; 0 if none has one.
func (c *Configuration) TargetGap(s ids.Service) time.Duration { return c.requirements[s].targetGap }

// indexRequirements collects the requirements of all services once, as there may be many accounts and the registry changes often.
func (c *Configuration) indexRequirements() {
	ofAccounts := c.accountPriorities()
	out := map[ids.Service]requirements{}
	for _, list := range c.routes {
		for _, r := range list {
			for _, s := range r.destinations() {
				q := out[s]
				q.priorities = append(q.priorities, r.Priority)
				if c.NeedsKey(r) {
					q.priorities = append(q.priorities, ofAccounts...)
				}
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

// accountPriorities returns the priorities that accounts have instead of their routes'.
func (c *Configuration) accountPriorities() []int {
	seen := map[int]bool{}
	var out []int
	for _, a := range c.accounts {
		if a.HasPriority && !seen[a.Priority] {
			seen[a.Priority] = true
			out = append(out, a.Priority)
		}
	}
	return out
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
