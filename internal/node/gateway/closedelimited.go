package gateway

import (
	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// recordCloseDelimited counts and logs a response whose end only the close of its connection tells. err is the error of the
// attempt; nil if the response was relayed.
func (n *run) recordCloseDelimited(u *catalog.Upstream, res *httpclient.Response, err error) {
	n.g.metrics.closeDelimited(u.Service, n.r.route.Kind, err == nil)
	_ = n.g.requests.failures.Log("msg", "response ends with its connection", "request", n.r.call.Attempt, "route", n.r.route.Name,
		"kind", n.r.route.Kind, "upstream", u.Incarnation(), "service", u.Service, "status", res.Status, "body_bytes", res.BodyBytes(),
		"after_event", n.stream.lastEvent, "relayed", err == nil, "err", err)
}
