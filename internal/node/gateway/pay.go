package gateway

import (
	"context"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/monotonic"
)

// reserveRetry reserves a retry for the next attempt. If this gateway has none left, it waits for a grant. It reports whether
// there is one.
func (n *run) reserveRetry(ctx context.Context) bool {
	if n.token != nil || n.takeRetry() {
		return true
	}
	if n.left != nil {
		return false // the stream goes back to the upstream that it has left
	}
	limit := min(maxGrantWait, time.Duration(maxGrantWaitShare*float64(time.Until(n.r.deadline))))
	if n.x.Responded() {
		return n.awaitRetry(ctx, n.resumeBy())
	}
	return n.service.grants.await(ctx, limit) && n.takeRetry()
}

// retryPollInterval is how often a request whose answer has begun looks for a retry while none is granted.
const retryPollInterval = 50 * time.Millisecond

// awaitRetry waits for a retry until a time, also while the store grants none. Without one, an answer that has begun is broken off.
func (n *run) awaitRetry(ctx context.Context, until time.Time) bool {
	for ctx.Err() == nil && time.Now().Before(until) {
		if n.service.grants.await(ctx, time.Until(until)) && n.takeRetry() || n.takeRetry() {
			return true
		}
		monotonic.Sleep(ctx, retryPollInterval)
	}
	return false
}

// resumeShare is the part of the time for which the caller waits, for an event or at all, in which an answer that has begun waits for a
// retry. The rest is left to the attempt.
const resumeShare = 0.9

// resumeBy returns until when an answer that has begun waits for a retry.
func (n *run) resumeBy() time.Time {
	since := n.lastEventAt
	if since.IsZero() {
		since = n.r.arrived
	}
	patience := min(n.r.route.CallerTimeout(), n.r.deadline.Sub(since))
	return since.Add(time.Duration(resumeShare * float64(patience)))
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
