package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against a pool that does not learn of the priorities of its service's routes, so that the rules of
// classes never apply.
func TestPoolGetsClassesOfRoutes(t *testing.T) {
	to := []catalog.WeightedService{{Service: "s", Weight: 1}}
	routes := []*catalog.Route{
		{Host: "h", Prefix: "/a/", Services: to, Priority: 1},
		{Host: "h", Prefix: "/b/", Services: to, Priority: 0},
	}
	s := &catalog.Service{Name: "s", Engine: &catalog.Engine{}}
	o := dispatchOptions(catalog.New(1, routes, []*catalog.Service{s}, nil, catalog.Limits{}), s, nil)
	if diff := cmp.Diff([]int{0, 1}, o.Classes); diff != "" {
		t.Fatal(diff)
	}
	one := dispatchOptions(catalog.New(1, routes[:1], []*catalog.Service{s}, nil, catalog.Limits{}), s, nil)
	if len(one.Classes) > 1 {
		t.Fatalf("classes %v for a service with one priority", one.Classes)
	}
}
