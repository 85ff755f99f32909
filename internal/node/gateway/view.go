package gateway

import (
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/completeness"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/runtimes"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// view is the control state that requests read. It is immutable, except for the gates and budgets of its services,
// which have their own locks and are carried over from view to view.
type view struct {
	// config is nil before the first configuration is received.
	config    *catalog.Configuration
	upstreams *catalog.Upstreams
	services  map[ids.Service]*service
	// evacuated is the set of evacuated data centres.
	evacuated *catalog.Evacuations
	// state determines whether new requests are accepted.
	state nodeState
	// storeUp is set if the last call to the store succeeded. Otherwise the configuration may be outdated, and a
	// gateway must not report that a route or key does not exist.
	storeUp bool
	// storeSince is when storeUp last changed.
	storeSince time.Time
}

// service holds the components that process the requests of one service.
type service struct {
	gate   *dispatch.Gate
	budget *retry.SharedBudget
	grants *retryGrants
	// habit records how the service's upstreams end their responses.
	habit *completeness.Habit
	// longBodies records which of the service's complete bodies were too long to be buffered.
	longBodies *completeness.Habit
	// heldHeaders records which of the service's bodies contained the whole header of a response.
	heldHeaders *completeness.Habit
	// gaps records which of the service's streams have ids that are not consecutive.
	gaps *completeness.Habit
	// runTimes is how long the service's requests run, by whether they may run again.
	runTimes struct{ repeatable, once runtimes.Estimator }
	// group is nil unless the upstreams are ranks of a group.
	group *groupWatch
	// evacuable is set while streams may be moved away from evacuated data centres.
	evacuable atomic.Bool
	// hasOthersAccounts is set while the gate has work of other gateways by account. Only the control loop uses it.
	hasOthersAccounts bool
}

// nodeState is a gateway's state, as it reports it to peers and callers.
type nodeState string

const (
	// stateStarting: there is no configuration yet.
	stateStarting nodeState = "starting"
	stateReady    nodeState = "ready"
	// stateLeaving: the address is no longer given to callers, but requests are still served.
	stateLeaving nodeState = "leaving"
	// stateClosing: new requests are refused as not run.
	stateClosing nodeState = "closing"
)
