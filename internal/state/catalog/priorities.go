package catalog

import "github.com/cardamomyoke/cardamomyoke/internal/base/ids"

// HasSeveralPriorities reports whether requests of a service may have different priorities, by its routes and the
// client accounts.
func (c *Configuration) HasSeveralPriorities(service ids.Service) bool {
	found := map[int]bool{}
	for _, list := range c.routes {
		for _, r := range list {
			for _, w := range r.Services {
				if w.Service == service {
					found[r.Priority] = true
				}
			}
		}
	}
	for _, a := range c.accounts {
		if len(found) > 0 && a.HasPriority {
			found[a.Priority] = true
		}
	}
	return len(found) > 1
}
