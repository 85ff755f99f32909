package catalog_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

func TestRouteIsLongestMatchingPrefix(t *testing.T) {
	routes := []*catalog.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}
	c := catalog.New(1, routes, nil, nil, catalog.Limits{})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":      {"a.example", "/x/y/z/1", "long"},
		"shorter prefix":      {"a.example", "/x/q", "short"},
		"host with port":      {"a.example:80", "/x/q", "short"},
		"upper-case host":     {"A.EXAMPLE", "/x/y/", "long"},
		"no such path":        {"a.example", "/y/", ""},
		"no trailing slash":   {"a.example", "/x", ""},
		"another host":        {"b.example", "/x/y/", ""},
		"no such host":        {"c.example", "/x/", ""},
		"other host's prefix": {"b.example", "/x/y/z/", "other"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if r := c.Route(tc.host, tc.path); r != nil {
				got = r.Name
			}
			if got != tc.want {
				t.Fatalf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestKeyIsNeededOnlyIfAccountsExist(t *testing.T) {
	open, closed := &catalog.Route{Public: true}, &catalog.Route{}
	none := catalog.New(1, nil, nil, nil, catalog.Limits{})
	some := catalog.New(1, nil, nil, map[string]*catalog.Account{"k": {Name: "a"}}, catalog.Limits{})
	got := []bool{none.NeedsKey(closed), some.NeedsKey(open), some.NeedsKey(closed), some.Account("k") != nil, some.Account("x") != nil}
	if diff := cmp.Diff([]bool{false, false, true, true, false}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against requests to incarnations that have ended. All hosts of a service lose power and restart; the new
// incarnations register immediately, while the old registry entries remain for some heartbeats. If both counted, half
// of the requests would go to ended incarnations and be refused.
func TestLaterEntryReplacesEarlierAtSameAddress(t *testing.T) {
	u := catalog.NewUpstreams([]*catalog.Upstream{
		{ID: "old", Service: "s", Address: "10.0.0.1:1", Written: platform.Position{Version: 5}},
		{ID: "new", Service: "s", Address: "10.0.0.1:1", Written: platform.Position{Version: 9}},
		{ID: "other", Service: "s", Address: "10.0.0.2:1", Written: platform.Position{Version: 2}},
	})
	var got []ids.Upstream
	for _, up := range u.Of("s") {
		got = append(got, up.ID)
	}
	if diff := cmp.Diff([]ids.Upstream{"new", "other"}, got); diff != "" || u.Get("old") != nil || u.Len() != 2 {
		t.Fatal(diff)
	}
}
