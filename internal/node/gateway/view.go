package gateway

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/retry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// view is what requests see of the control state. It is immutable, but for the gates and budgets of its services,
// which have locks of their own and live on from view to view.
type view struct {
	// config is nil before the first configuration is known.
	config    *catalog.Configuration
	upstreams *catalog.Upstreams
	services  map[ids.Service]*service
	// state says whether new requests are taken.
	state nodeState
	// storeUp says that the configuration is known to be the newest: a node that cannot know does not say that a route
	// or key does not exist.
	storeUp bool
	// storeSince is since when that has been so.
	storeSince time.Time
}

// service is what one service's requests go through.
type service struct {
	gate   *dispatch.Gate
	budget *retry.Window
	// group is nil unless the upstreams are ranks of a group.
	group *groupWatch
}

// nodeState is what a gateway says of itself.
type nodeState string

const (
	// stateStarting: no configuration is known yet.
	stateStarting nodeState = "starting"
	stateReady    nodeState = "ready"
	// stateLeaving: no longer given out as an address, but requests that still come are served.
	stateLeaving nodeState = "leaving"
	// stateClosing: new requests are refused as not run.
	stateClosing nodeState = "closing"
)
