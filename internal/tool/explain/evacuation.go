package explain

import (
	"strings"
	"time"
)

// Messages and fields of gateways' lines about evacuations.
const (
	messageEvacuated       = "data centre evacuated"
	messageEvacuationEnded = "evacuation ended"
	fieldDataCentre        = "data_centre"
	// evacuatedText is in each error that an evacuation causes: a refusal, a moved stream, a request that was placed again.
	evacuatedText = "evacuated"
)

// concernsEvacuation reports whether one of the lines about a request names an evacuation as its cause.
func concernsEvacuation(lines []*Line) bool {
	for _, l := range lines {
		if strings.Contains(l.Get("err"), evacuatedText) {
			return true
		}
	}
	return false
}

// evacuationsInForce returns the lines at which the evacuations began that were in force at a time, at the given nodes. An
// evacuation may have begun long before the requests that it refuses.
func evacuationsInForce(lines []*Line, nodes map[string]bool, at time.Time) []*Line {
	type place struct{ node, dataCentre string }
	begun := map[place]*Line{}
	sorted := append([]*Line(nil), lines...)
	sortByTime(sorted)
	for _, l := range sorted {
		if !nodes[l.Node] || !l.At.Before(at) {
			continue
		}
		p := place{l.Node, l.Get(fieldDataCentre)}
		switch l.Message {
		case messageEvacuated:
			begun[p] = l
		case messageEvacuationEnded:
			delete(begun, p)
		}
	}
	out := make([]*Line, 0, len(begun))
	for _, l := range begun {
		out = append(out, l)
	}
	return out
}
