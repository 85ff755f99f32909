package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/coldstart"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// OutdatedPermitError reports that a request was placed at a cold upstream, but not written to it, because the permit to send it
// is too old.
type OutdatedPermitError struct {
	Upstream ids.Upstream
	Age      time.Duration
}

// Error implements error.
func (e *OutdatedPermitError) Error() string {
	return fmt.Sprintf("nothing was written to %s: it was cold, and the permit is %d ms old", e.Upstream, e.Age.Milliseconds())
}

// checkPlacement is called right before a request is written to the upstream that it was placed at, and returns an error if it
// must not be: *EvacuatedUpstreamError or *OutdatedPermitError.
//
// Establishing a connection takes time, and this process may have been paused since. Gateways that are paused together would
// otherwise write all that they had placed at a cold upstream in the same second.
func (n *run) checkPlacement(u *catalog.Upstream, in dispatch.PlacementInputs, placedAt time.Time) error {
	if err := n.g.checkEvacuated(u); err != nil {
		return err
	}
	if age := time.Since(placedAt); in.ColdPart > 0 && age > coldstart.ValidFor {
		return &OutdatedPermitError{u.ID, age}
	}
	return nil
}

// isUnwritten reports whether an attempt failed before the request was written, because the upstream must not get it any more.
func isUnwritten(err error) bool {
	var evacuated *EvacuatedUpstreamError
	var outdated *OutdatedPermitError
	return errors.As(err, &evacuated) || errors.As(err, &outdated)
}

// placeAgain prepares a request that was not written for another placement: it gets back the retry that it paid.
func (n *run) placeAgain(err error) {
	if n.paid != nil {
		n.refundRetry()
		n.takeRetry()
	}
	_ = n.g.requests.resent(n.r.route.Repeatable()).Log("msg", "placing request again", "request", n.r.call.Attempt, "route", n.r.route.Name, "upstream", n.upstream, "address", n.address,
		"repeatable", n.r.route.Repeatable(), "proof", proofOf(err), "attempt", n.sent+n.unreached+1, "placed_ms", sinceArrival(n, n.placedAt), "left_ms", time.Until(n.r.deadline).Milliseconds(), "err", err)
}
