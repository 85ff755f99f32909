package gateway

import (
	"context"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// leftPlace is the upstream that a stream has left, and to which it goes back if no other one goes on with it. Nobody places requests at a
// very slow rank, so that its place there is free.
type leftPlace struct {
	upstream *catalog.Upstream
	// next is the place for which the stream has left; nil once it was used.
	next *dispatch.Ticket
	// there is the retry for that place, token the one for going back.
	there, token retry.Token
	// until is when the stream goes back if it has found no other place: as long as token is valid.
	until time.Time
	// back is set once it goes back.
	back bool
}

// leave gives the attempt up for a place elsewhere, and reports whether it did. The place is reserved before, and so are the retries for both
// ways, there and back.
func (n *run) leave(h *handovers, reason moveReason, now time.Time) bool {
	if !n.service.gate.HasPlaceForMoved(h.request) {
		return false
	}
	there, back, lasting, ok := n.service.budget.TakeTwo(now)
	if !ok {
		n.service.grants.request(now)
		return false
	}
	next, ok := n.service.gate.PlaceMoved(h.request)
	left := &leftPlace{next: next, there: there, token: back, until: now.Add(lasting)}
	if !ok || !h.leave(reason, left) {
		n.service.gate.Done(next, dispatch.OutcomeNone)
		n.service.budget.Return(there, now)
		n.service.budget.Return(back, now)
		return false
	}
	return true
}

// recordLeft records that the stream has left an upstream, if it has.
func (n *run) recordLeft(u *catalog.Upstream, h *handovers) {
	left := h.leftFor()
	if left == nil {
		return
	}
	n.forgetLeft("left-again")
	left.upstream = u
	if n.stream.events > 0 && left.until.After(n.resumeBy()) {
		left.until = n.resumeBy()
	}
	n.left, n.token = left, &left.there
}

// forgetLeft records that the stream does not go back to the upstream that it has left: another one has gone on with it, or the request
// has ended.
func (n *run) forgetLeft(outcome string) {
	if n.left == nil {
		return
	}
	n.service.budget.Return(n.left.token, time.Now())
	n.service.gate.Done(n.left.next, dispatch.OutcomeNone)
	n.left = nil
	n.g.metrics.handedOver(n.r.service.Name, moveSlow, outcome)
}

// goBack makes the stream go back to the upstream that it has left, since no other attempt follows for a reason, and reports whether it
// does. A request that has ended does not.
func (n *run) goBack(ctx context.Context, reason stopCause) bool {
	k := n.left
	if k == nil || k.back || ctx.Err() != nil || n.g.checkEvacuated(k.upstream) != nil {
		return false
	}
	switch reason {
	case stopAttempts, stopUnreached, stopBudget, stopNoPlace:
	default:
		return false
	}
	k.back = true
	return true
}

// placementContext returns the context in which the next attempt waits for its place.
func (n *run) placementContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if n.left == nil {
		return ctx, func() {}
	}
	return context.WithDeadline(ctx, n.left.until)
}

// placeMoved returns the ticket of the place for which the stream has left its upstream.
func (n *run) placeMoved(_ context.Context, last error) (*dispatch.Ticket, error) {
	ticket := n.left.next
	n.left.next = nil
	if !n.payForRetry(time.Now()) {
		n.service.gate.Done(ticket, dispatch.OutcomeNone)
		n.g.logRetryDenied(n, last)
		return nil, n.finalError(n.ctx, last, stopBudget)
	}
	n.recordPlaced(ticket, time.Now())
	n.g.logPlaced(n, ticket.Upstream().Incarnation(), ticket.PlacementInputs())
	return ticket, nil
}

// placeBack returns a ticket for the upstream that the stream has left, or another one if that takes no requests.
func (n *run) placeBack(attemptCtx context.Context, last error) (*dispatch.Ticket, error) {
	left := n.left
	n.left = nil
	n.service.gate.Done(left.next, dispatch.OutcomeNone)
	n.returnToken()
	n.token = &left.token
	ticket, ok := n.service.gate.PlaceAt(n.dispatchRequest(n.x.Responded()), left.upstream.Incarnation())
	if !ok {
		return n.placeAnew(attemptCtx, last) // it rests or leaves; another place may come
	}
	for !n.payForRetry(time.Now()) {
		if !n.renewRetry(n.ctx) {
			n.service.gate.Done(ticket, dispatch.OutcomeNone)
			n.g.logRetryDenied(n, last)
			return nil, n.finalError(n.ctx, last, stopBudget)
		}
	}
	n.g.metrics.handedOver(n.r.service.Name, moveSlow, "went-back")
	n.recordPlaced(ticket, time.Now())
	n.g.logPlaced(n, ticket.Upstream().Incarnation(), ticket.PlacementInputs())
	return ticket, nil
}
