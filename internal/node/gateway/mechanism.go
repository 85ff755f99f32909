package gateway

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// Mechanisms of gateways beside those of dispatch; see settings.Off.
const (
	// offClosedGroups: requests are held back while a group does not work.
	offClosedGroups dispatch.Mechanism = "closed-groups"
	// offMoves: streams are moved away from very slow ranks.
	offMoves dispatch.Mechanism = "moves"
	// offStandby: numbers are drawn ahead, to lead without the lease.
	offStandby dispatch.Mechanism = "standby"
	// offSuspects: requests that crash upstreams are refused.
	offSuspects dispatch.Mechanism = "suspects"
	// offStartWait: requests wait for a gateway that starts.
	offStartWait dispatch.Mechanism = "start-wait"
	// offMaps: experts are placed by demand.
	offMaps dispatch.Mechanism = "maps"
)

// mechanisms are all that may be switched off.
func mechanisms() []dispatch.Mechanism {
	own := []dispatch.Mechanism{offClosedGroups, offMoves, offStandby, offSuspects, offStartWait, offMaps}
	return append(dispatch.Mechanisms(), own...)
}

func checkOff(off []dispatch.Mechanism) error {
	known := mechanisms()
	for i, m := range off {
		if !slices.Contains(known, m) {
			names := make([]string, len(known))
			for i, k := range known {
				names[i] = string(k)
			}
			return &settings.KeyError{Path: fmt.Sprintf("$.off[%d]", i), Want: "one of " + strings.Join(names, ", "), Got: string(m)}
		}
	}
	return nil
}

// off reports whether a mechanism is switched off now.
func (g *Gateway) off(m dispatch.Mechanism) bool { return slices.Contains(g.Settings().Off, m) }

// dispatchOff are the mechanisms for pools.
func (g *Gateway) dispatchOff() dispatch.Off {
	off := dispatch.Off{}
	for _, m := range g.Settings().Off {
		off[m] = true
	}
	return off
}
