package gateway

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// Mechanisms are features of gateways that Settings.Off can disable, in addition to those of package dispatch.
const (
	// mechanismClosedGroups: requests are held back while a group does not work.
	mechanismClosedGroups dispatch.Mechanism = "closed-groups"
	// mechanismMoves: streams are moved away from very slow ranks.
	mechanismMoves dispatch.Mechanism = "moves"
	// mechanismStandby: fencing tokens are allocated in advance, to lead without the lease.
	mechanismStandby dispatch.Mechanism = "standby"
	// mechanismSuspects: requests that crash upstreams are refused.
	mechanismSuspects dispatch.Mechanism = "suspects"
	// mechanismStartWait: requests wait for a gateway that starts.
	mechanismStartWait dispatch.Mechanism = "start-wait"
	// mechanismMaps: experts are placed by demand.
	mechanismMaps dispatch.Mechanism = "maps"
	// mechanismEvacuation: upstreams of evacuated data centres get no requests.
	mechanismEvacuation dispatch.Mechanism = "evacuation"
	// mechanismHoldWatch: a standby takes over from a leader that goes silent while it holds a group.
	mechanismHoldWatch dispatch.Mechanism = "hold-watch"
	// mechanismColdLimits: the requests to cold upstreams are limited.
	mechanismColdLimits dispatch.Mechanism = "cold-limits"
)

// mechanisms returns all mechanisms that can be disabled.
func mechanisms() []dispatch.Mechanism {
	own := []dispatch.Mechanism{
		mechanismClosedGroups, mechanismMoves, mechanismStandby, mechanismSuspects, mechanismStartWait,
		mechanismMaps, mechanismEvacuation, mechanismHoldWatch, mechanismColdLimits, mechanismStoreChecks,
	}
	return append(dispatch.Mechanisms(), own...)
}

func checkDisabled(off []dispatch.Mechanism) error {
	all := mechanisms()
	for i, m := range off {
		if !slices.Contains(all, m) {
			names := make([]string, len(all))
			for i, k := range all {
				names[i] = string(k)
			}
			return &settings.KeyError{Path: fmt.Sprintf("$.off[%d]", i), Want: "one of " + strings.Join(names, ", "), Got: string(m)}
		}
	}
	return nil
}

// disabled reports whether a mechanism is currently disabled.
func (g *Gateway) disabled(m dispatch.Mechanism) bool { return slices.Contains(g.Settings().Off, m) }

// disabledInDispatch returns the switched-off mechanisms for the pools.
func (g *Gateway) disabledInDispatch() dispatch.DisabledMechanisms {
	off := dispatch.DisabledMechanisms{}
	for _, m := range g.Settings().Off {
		off[m] = true
	}
	return off
}
