package registry_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/registry"
)

// table is a fake of the registry: its rows, and the upstream that each version decodes to.
type table struct {
	rows        []platform.Row
	upstreams   map[uint64]*catalog.Upstream
	decodeCalls int
	version     uint64
}

func (w *table) decode(row platform.Row) (*catalog.Upstream, error) {
	w.decodeCalls++
	if u := w.upstreams[row.Version]; u != nil {
		return u, nil
	}
	return nil, failure.New(failure.CodeMalformed, nil)
}

// put writes a registry entry; with a nil upstream the registry entry cannot be decoded.
func (w *table) put(key string, u *catalog.Upstream) {
	w.version++
	row := platform.Row{Key: key, Version: w.version}
	if u != nil {
		u.ID, u.Written = ids.Upstream(key), platform.Position{Version: w.version}
		w.upstreams[w.version] = u
	}
	for i := range w.rows {
		if w.rows[i].Key == key {
			w.rows[i] = row
			return
		}
	}
	w.rows = append(w.rows, row)
}

func newTable() *table { return &table{upstreams: map[uint64]*catalog.Upstream{}} }

var services = map[ids.Service]*catalog.Service{"s": {Name: "s"}}

func newUpstream(address string, startedAtMS int64, state catalog.State) *catalog.Upstream {
	return &catalog.Upstream{Service: "s", Address: address, Slots: 1, State: state, StartedAtMS: startedAtMS}
}

// update returns the states of the usable upstreams by incarnation, and the kinds of the findings.
func update(r *registry.Registry, w *table) (states map[string]catalog.State, found []registry.Kind) {
	list, findings := r.Update(w.rows, services)
	states = map[string]catalog.State{}
	for _, u := range list.All() {
		states[u.Incarnation().String()] = u.State
	}
	for _, f := range findings {
		found = append(found, f.Kind)
	}
	return states, found
}

// Guards against requests to a past incarnation. An upstream restarts under its ID between two heartbeats, so its
// registry entry never disappears. Then the last heartbeat of the previous incarnation arrives late and reports
// draining. The new incarnation has the smaller start time, because the upstream's clock was set back.
func TestLateEntryOfPastIncarnationIsIgnored(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	for _, step := range []struct {
		name        string
		startedAtMS int64
		state       catalog.State
		want        map[string]catalog.State
		found       []registry.Kind
	}{
		{"first incarnation", 1000, catalog.StateDraining, map[string]catalog.State{"u@1000": catalog.StateDraining}, nil},
		{"second incarnation", 900, catalog.StateReady, map[string]catalog.State{"u@900": catalog.StateReady}, []registry.Kind{registry.Restarted}},
		{"late entry of the first", 1000, catalog.StateDraining, map[string]catalog.State{"u@900": catalog.StateReady}, []registry.Kind{registry.Late}},
		{"second drains", 900, catalog.StateDraining, map[string]catalog.State{"u@900": catalog.StateDraining}, nil},
		{"third incarnation", 1100, catalog.StateReady, map[string]catalog.State{"u@1100": catalog.StateReady}, []registry.Kind{registry.Restarted}},
		{"late entry of the second", 900, catalog.StateDraining, map[string]catalog.State{"u@1100": catalog.StateReady}, []registry.Kind{registry.Late}},
	} {
		w.put("u", newUpstream("10.0.0.1:1", step.startedAtMS, step.state))
		got, found := update(r, w)
		if diff := cmp.Diff(step.want, got) + cmp.Diff(step.found, found); diff != "" {
			t.Fatalf("%s: %s", step.name, diff)
		}
	}
}

// Guards against a late heartbeat that brings back the incarnation before a restart. A registry entry is overwritten by
// an unreadable row, then written again by its upstream, which has restarted meanwhile.
func TestUnreadableEntryDoesNotHideRestart(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	w.put("u", newUpstream("10.0.0.1:1", 1, catalog.StateReady))
	update(r, w)
	w.put("u", nil)
	if got, found := update(r, w); len(got) != 0 || len(found) != 1 {
		t.Fatalf("used %v, findings %v", got, found)
	}
	w.put("u", newUpstream("10.0.0.1:1", 2, catalog.StateReady))
	update(r, w)
	w.put("u", newUpstream("10.0.0.1:1", 1, catalog.StateDraining))
	got, _ := update(r, w)
	if diff := cmp.Diff(map[string]catalog.State{"u@2": catalog.StateReady}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a healthy upstream without requests: a false, well-formed registry entry has its address and, as the
// later one, takes the address over. The healthy upstream receives the first request sent there and does not run it;
// its response proves that the registry entry is false. From then on the owner must be used, for as long as the false
// registry entry exists and however often it is rewritten.
func TestAddressReturnsToOwnerAfterReject(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	w.put("owner", newUpstream("10.0.0.1:1", 5, catalog.StateReady))
	w.put("false", newUpstream("10.0.0.1:1", 6, catalog.StateReady))
	owned := map[string]catalog.State{"owner@5": catalog.StateReady}
	if got, _ := update(r, w); got["false@6"] == "" || len(got) != 1 {
		t.Fatalf("used %v, want the later entry", got)
	}
	incarnation := ids.UpstreamIncarnation{Upstream: "false", StartedAtMS: 6}
	if !r.Reject(incarnation) || r.Reject(incarnation) {
		t.Fatal("Reject must return true only for the first call")
	}
	for range 2 {
		got, _ := update(r, w)
		if diff := cmp.Diff(owned, got); diff != "" {
			t.Fatal(diff)
		}
		w.put("false", newUpstream("10.0.0.1:1", 6, catalog.StateReady))
	}
	// Once the registry entry is removed, its rejection must be forgotten.
	w.rows = w.rows[:1]
	update(r, w)
	if !r.Reject(incarnation) {
		t.Fatal("the rejection of a removed entry is still remembered")
	}
}

// Guards against an upstream that stays unused because it registers before its service is configured and its registry
// entry does not change afterwards. Until then it must not take over the address of another upstream.
func TestUpstreamOfServiceConfiguredLater(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	w.put("owner", newUpstream("10.0.0.1:1", 1, catalog.StateReady))
	early := newUpstream("10.0.0.1:1", 1, catalog.StateReady)
	early.Service = "later"
	w.put("early", early)
	if got, _ := update(r, w); got["owner@1"] == "" || len(got) != 1 {
		t.Fatalf("used %v", got)
	}
	list, _ := r.Update(w.rows, map[ids.Service]*catalog.Service{"later": {Name: "later"}})
	if list.Get("early") == nil || list.Len() != 1 {
		t.Fatalf("used %d upstreams, want the early one", list.Len())
	}
}

// Guards against a cost of each change that grows with unreadable registry entries. Another writer adds 5,000; each
// must be decoded and reported once, and not again with every change of another registry entry.
func TestForeignEntriesAreDecodedOnce(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	for i := range 5000 {
		w.put(fmt.Sprintf("foreign-%d", i), nil)
	}
	_, found := update(r, w)
	for i := range 10 {
		w.put("u", newUpstream("10.0.0.1:1", 1, catalog.StateReady))
		if _, found := update(r, w); len(found) != 0 {
			t.Fatalf("findings %v after change %d", found, i)
		}
	}
	if len(found) != 5000 || w.decodeCalls != 5010 {
		t.Fatalf("%d findings, %d rows decoded, want 5000 and 5010", len(found), w.decodeCalls)
	}
}

// BenchmarkForeignEntries measures one change of the registry with 5,000 unreadable registry entries of another writer.
func BenchmarkForeignEntries(b *testing.B) {
	w := newTable()
	r := registry.New(w.decode)
	for i := range 5000 {
		w.put(fmt.Sprintf("foreign-%d", i), nil)
	}
	update(r, w)
	b.ReportAllocs()
	for b.Loop() {
		w.put("u", newUpstream("10.0.0.1:1", 1, catalog.StateReady))
		update(r, w)
	}
}
