package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against a deployment that is served differently although its configuration does not ask for it.
func TestNearUpstreamsArePreferredOnlyIfConfigured(t *testing.T) {
	delays := []catalog.Delay{{From: "a", To: "b", Delay: 3 * time.Millisecond}, {From: "b", To: "a", Delay: 4 * time.Millisecond}}
	preferred := &dispatch.Near{DataCentre: "a", Delays: map[ids.DataCentre]time.Duration{"b": 3 * time.Millisecond}}
	route := func(priority int, service ids.Service) *catalog.Route {
		return &catalog.Route{Priority: priority, Services: []catalog.WeightedService{{Service: service, Weight: 1}}}
	}
	first := &catalog.Account{Priority: 1, HasPriority: true}
	for _, c := range []struct {
		name     string
		delays   []catalog.Delay
		evacuate time.Duration
		routes   []*catalog.Route
		account  *catalog.Account
		want     *dispatch.Near
	}{
		{"evacuations", delays, 5 * time.Second, []*catalog.Route{route(1, "s")}, nil, preferred},
		{"priorities of routes", delays, 0, []*catalog.Route{route(1, "s"), route(0, "s")}, nil, preferred},
		{"an account's priority", delays, 0, []*catalog.Route{route(0, "s")}, first, nil},
		{"no delays", nil, 5 * time.Second, []*catalog.Route{route(1, "s"), route(0, "s")}, nil, nil},
		{"one priority", delays, 0, []*catalog.Route{route(1, "s"), route(1, "s")}, first, nil},
		{"priorities of another service", delays, 0, []*catalog.Route{route(1, "s"), route(0, "t"), route(2, "t")}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &catalog.Service{Name: "s", Engine: &catalog.Engine{Delays: c.delays}}
			accounts := map[string]*catalog.Account{}
			if c.account != nil {
				accounts["key"] = c.account
			}
			set := &Settings{DataCentre: "a", Bounds: Bounds{Evacuate: settings.Duration(c.evacuate)}}
			got := near(catalog.New(1, c.routes, []*catalog.Service{s}, accounts, catalog.Limits{}), s, set)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got): %s", diff)
			}
		})
	}
}
