package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/completeness"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// UnprovenEndError reports that only the close of the upstream's connection tells that a response is complete, and that
// another upstream is asked.
type UnprovenEndError struct{ Upstream ids.Upstream }

// Error implements error.
func (e *UnprovenEndError) Error() string {
	return fmt.Sprintf("%s closed the connection at the end of a response without a length", e.Upstream)
}

// maxConfirmation is how much of the time that a request has taken until its response with an unproven end another upstream
// may take, unless the route's target latency leaves more.
const maxConfirmation = 2

// checkEnd returns an error if a buffered success that ends with its connection must not, or not yet, reach the caller.
//
// A body that ends with its connection and was cut off cannot be told from a complete one in every case. What shows that it
// was cut off is never relayed. A request that may be repeated is asked for again, and the response is kept. Otherwise the
// caller gets the response as the upstream sent it: without a length, ended by the close of the connection.
func (n *run) checkEnd(ctx context.Context, t *dispatch.Ticket, p *plainResponse, contentType string) error {
	if !p.endUnproven || p.status/100 != 2 {
		return nil
	}
	u := t.Upstream()
	switch completeness.Judge(contentType, p.body) {
	case completeness.Complete:
		p.endUnproven = false
		return nil
	case completeness.Incomplete:
		return &ResponseError{u.ID, p.status, "body without a length is not complete"}
	}
	if err := n.checkAlive(ctx, u); err != nil {
		return err
	}
	if !n.mayConfirm() {
		return nil
	}
	n.keep(&n.unproven, p)
	return &UnprovenEndError{u.ID}
}

// mayConfirm reports whether another upstream may be asked because the end of a response is not proven.
func (n *run) mayConfirm() bool {
	return n.r.route.Repeatable() && !n.service.habit.Usual()
}

// checkAlive returns *httpclient.BrokenError if the upstream accepts no connections after it has closed the one of a response
// without a length. The system closes the connections of a process that crashed, in mid-body, too.
func (n *run) checkAlive(ctx context.Context, u *catalog.Upstream) error {
	if err := n.g.client.ConfirmAlive(ctx, u.Address); err != nil {
		return &httpclient.BrokenError{Address: u.Address, Stage: "confirm the end of the response from", Cause: err}
	}
	return nil
}

// confirmationDeadline returns until when the response that is kept may wait for that of another upstream.
func (n *run) confirmationDeadline(now time.Time) time.Time {
	target := n.r.arrived.Add(n.r.route.TargetLatency)
	bound := now.Add(maxConfirmation * now.Sub(n.r.arrived))
	if target.After(bound) {
		return target
	}
	return bound
}

// recordCloseDelimited counts and logs a response whose end only the close of its connection tells. err is the error of the
// attempt; nil if the response was relayed.
func (n *run) recordCloseDelimited(u *catalog.Upstream, res *httpclient.Response, err error) {
	if res.Status/100 == 2 && res.Complete() { // one that was cut off does not show how the service ends its responses
		n.service.habit.Record(true)
	}
	n.g.metrics.closeDelimited(u.Service, n.r.route.Kind, err == nil)
	_ = n.g.requests.failures.Log("msg", "response ends with its connection", "request", n.r.call.Attempt, "route", n.r.route.Name,
		"kind", n.r.route.Kind, "upstream", u.Incarnation(), "service", u.Service, "status", res.Status, "body_bytes", res.BodyBytes(),
		"after_event", n.stream.lastEvent, "usual", n.service.habit.Usual(), "relayed", err == nil, "err", err)
}
