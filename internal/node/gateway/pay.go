package gateway

import (
	"context"
	"time"
)

// reserveRetry reserves a retry for the next attempt. If this gateway has none left, it waits for a grant. It reports whether
// there is one.
func (n *run) reserveRetry(ctx context.Context) bool {
	if n.token != nil || n.takeRetry() {
		return true
	}
	limit := min(maxGrantWait, time.Duration(maxGrantWaitShare*float64(time.Until(n.r.deadline))))
	return n.service.grants.await(ctx, limit) && n.takeRetry()
}

// maxRenewals is how many retries that expired while a request waited for an upstream are replaced; each takes one from all gateways.
const maxRenewals = 2

// renewRetry reserves a retry in place of one that has expired while the request waited for an upstream.
func (n *run) renewRetry(ctx context.Context) bool {
	if n.renewals >= maxRenewals {
		return false
	}
	n.renewals++
	return n.reserveRetry(ctx)
}

func (n *run) takeRetry() bool {
	t, ok := n.service.budget.Take(time.Now())
	if ok {
		n.token = &t
	}
	return ok
}

// payForRetry uses up the reserved retry as the attempt is sent, and reports whether the attempt may be sent. The first arrival
// of a request needs no retry.
func (n *run) payForRetry(now time.Time) bool {
	if !n.arrived {
		return true
	}
	reserved := n.token
	n.token, n.paid = nil, nil
	if reserved == nil {
		return false
	}
	t, ok := n.service.budget.Send(*reserved, now)
	if ok {
		n.paid = &t
	}
	return ok
}

// refundRetry gives back the retry of an attempt that cannot have arrived.
func (n *run) refundRetry() {
	if n.paid != nil {
		n.service.budget.Unsent(*n.paid, time.Now())
		n.paid = nil
	}
}

// returnToken gives back a reserved retry that was not sent.
func (n *run) returnToken() {
	if n.token != nil {
		n.service.budget.Return(*n.token, time.Now())
		n.token = nil
	}
}
