package gateway

import "github.com/cardamomyoke/cardamomyoke/internal/state/catalog"

// recordRest records and logs the rest that an upstream asks for when it refuses a request; u is nil if the upstream is
// not known.
func (n *run) recordRest(u *catalog.Upstream, r Rest) {
	if u == nil || r == (Rest{}) {
		return
	}
	if s := n.g.view.Load().services[u.Service]; s != nil {
		s.gate.Rest(u.Incarnation(), r.Length)
	}
	n.g.metrics.restRequested(u.Service)
	_ = n.g.requests.failures.Log("msg", "upstream asks for rest", "upstream", u.Incarnation(), "service", u.Service, "request", n.r.call.Attempt,
		"rest_ms", r.Length.Milliseconds(), "malformed", r.Malformed)
}

// recordLeaving records and logs that an upstream says in a response that it will exit; u is nil if the upstream is not
// known.
func (n *run) recordLeaving(u *catalog.Upstream, leaving bool) {
	if u == nil || !leaving {
		return
	}
	s := n.g.view.Load().services[u.Service]
	if s == nil || !s.gate.Leave(u.Incarnation()) {
		return
	}
	_ = n.g.requests.failures.Log("msg", "upstream leaves", "upstream", u.Incarnation(), "service", u.Service, "request", n.r.call.Attempt,
		"registered_as", u.State, "entry_version", u.Written)
}
