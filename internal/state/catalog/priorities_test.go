package catalog_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against rules for several classes at a service whose routes have one priority, because an account goes ahead of others.
func TestPrioritiesOfAService(t *testing.T) {
	to := func(weight int) []catalog.WeightedService {
		return []catalog.WeightedService{{Service: "other", Weight: 1}, {Service: "s", Weight: weight}}
	}
	routes := []*catalog.Route{
		{Host: "h", Prefix: "/a/", Services: to(1), Priority: 2, Public: true},
		{Host: "h", Prefix: "/b/", Services: to(1), Priority: 1},
		{Host: "h", Prefix: "/c/", Services: to(0), Priority: 7},
	}
	accounts := map[string]*catalog.Account{"k": {Priority: 0, HasPriority: true}, "l": {Priority: 9}}
	c := catalog.New(1, routes, nil, accounts, catalog.Limits{})
	if diff := cmp.Diff([]int{1, 2}, c.Priorities("s")); diff != "" {
		t.Fatal(diff)
	}
	open := catalog.New(1, routes[:1], nil, accounts, catalog.Limits{})
	if diff := cmp.Diff([]int{2}, open.Priorities("s")); diff != "" {
		t.Fatal(diff)
	}
}
