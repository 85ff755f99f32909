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

// table is the registry's rows with what each decodes to.
type table struct {
	rows    []platform.Row
	named   map[uint64]*catalog.Upstream
	decoded int
	version uint64
}

func (w *table) decode(row platform.Row) (*catalog.Upstream, error) {
	w.decoded++
	if u := w.named[row.Version]; u != nil {
		return u, nil
	}
	return nil, failure.New(failure.CodeMalformed, nil)
}

// put writes an entry; nil for one that cannot be read.
func (w *table) put(key string, u *catalog.Upstream) {
	w.version++
	row := platform.Row{Key: key, Version: w.version}
	if u != nil {
		u.ID, u.Version = ids.Upstream(key), w.version
		w.named[w.version] = u
	}
	for i := range w.rows {
		if w.rows[i].Key == key {
			w.rows[i] = row
			return
		}
	}
	w.rows = append(w.rows, row)
}

func newTable() *table { return &table{named: map[uint64]*catalog.Upstream{}} }

var services = map[ids.Service]*catalog.Service{"s": {Name: "s"}}

func up(address string, born int64, state catalog.State) *catalog.Upstream {
	return &catalog.Upstream{Service: "s", Address: address, Slots: 1, State: state, StartedAtMS: born}
}

// update returns the lives that may be used with their states, and the kinds of what was found.
func update(r *registry.Registry, w *table) (lives map[string]catalog.State, found []registry.Kind) {
	list, findings := r.Update(w.rows, services)
	lives = map[string]catalog.State{}
	for _, u := range list.All() {
		lives[u.Incarnation().String()] = u.State
	}
	for _, f := range findings {
		found = append(found, f.Kind)
	}
	return lives, found
}

// An upstream starts again under its id between two heartbeats, so that its entry never went away. Then the last heartbeat of
// the life before comes late and says that it is draining. Callers must go on being sent to the new life. The second start is
// the smaller number, as the upstream's clock was set back.
func TestALateEntryOfAnEndedLifeChangesNothing(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	for _, step := range []struct {
		name  string
		born  int64
		state catalog.State
		want  map[string]catalog.State
		found []registry.Kind
	}{
		{"first life", 1000, catalog.StateDraining, map[string]catalog.State{"u@1000": catalog.StateDraining}, nil},
		{"second life", 900, catalog.StateReady, map[string]catalog.State{"u@900": catalog.StateReady}, []registry.Kind{registry.Restarted}},
		{"late", 1000, catalog.StateDraining, map[string]catalog.State{"u@900": catalog.StateReady}, []registry.Kind{registry.Late}},
		{"second again", 900, catalog.StateDraining, map[string]catalog.State{"u@900": catalog.StateDraining}, nil},
		{"third life", 1100, catalog.StateReady, map[string]catalog.State{"u@1100": catalog.StateReady}, []registry.Kind{registry.Restarted}},
		{"late again", 900, catalog.StateDraining, map[string]catalog.State{"u@1100": catalog.StateReady}, []registry.Kind{registry.Late}},
	} {
		w.put("u", up("10.0.0.1:1", step.born, step.state))
		got, found := update(r, w)
		if diff := cmp.Diff(step.want, got) + cmp.Diff(step.found, found); diff != "" {
			t.Fatalf("%s: %s", step.name, diff)
		}
	}
}

// An entry is overwritten by something that cannot be read, and written again by its upstream, which has started anew
// meanwhile. The life before that must not come back by a late heartbeat.
func TestAnUnreadableEntryDoesNotHideARestart(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	w.put("u", up("10.0.0.1:1", 1, catalog.StateReady))
	update(r, w)
	w.put("u", nil)
	if got, found := update(r, w); len(got) != 0 || len(found) != 1 {
		t.Fatalf("used %v, found %v", got, found)
	}
	w.put("u", up("10.0.0.1:1", 2, catalog.StateReady))
	update(r, w)
	w.put("u", up("10.0.0.1:1", 1, catalog.StateDraining))
	got, _ := update(r, w)
	if diff := cmp.Diff(map[string]catalog.State{"u@2": catalog.StateReady}, got); diff != "" {
		t.Fatal(diff)
	}
}

// Somebody writes a well-formed entry with the address of a healthy upstream. It is the later one, so that it takes the
// address over; the first request there is answered by the other upstream, which did not run it, and proves whose the address
// is. After that the owner must be used, for as long as the false entry is there and however often it is written again.
func TestAnAddressGoesBackToWhoAnswersThere(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	w.put("owner", up("10.0.0.1:1", 5, catalog.StateReady))
	w.put("false", up("10.0.0.1:1", 6, catalog.StateReady))
	owned := map[string]catalog.State{"owner@5": catalog.StateReady}
	if got, _ := update(r, w); got["false@6"] == "" || len(got) != 1 {
		t.Fatalf("used %v, want the later entry", got)
	}
	incarnation := ids.UpstreamIncarnation{Upstream: "false", StartedAtMS: 6}
	if !r.Reject(incarnation) || r.Reject(incarnation) {
		t.Fatal("proof is news once")
	}
	for range 2 {
		got, _ := update(r, w)
		if diff := cmp.Diff(owned, got); diff != "" {
			t.Fatal(diff)
		}
		w.put("false", up("10.0.0.1:1", 6, catalog.StateReady))
	}
	// Once the entry is gone nothing is remembered of it.
	w.rows = w.rows[:1]
	update(r, w)
	if !r.Reject(incarnation) {
		t.Fatal("a life whose entry is gone is still remembered")
	}
}

// An upstream registers before the operators configure its service. It must be used as soon as they have, though its entry
// does not change; and as long as they have not it takes no address away.
func TestAnUpstreamOfAServiceThatIsConfiguredLater(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	w.put("owner", up("10.0.0.1:1", 1, catalog.StateReady))
	early := up("10.0.0.1:1", 1, catalog.StateReady)
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

// Another writer fills the registry with 5,000 entries that cannot be read. Each is decoded once and reported once, and not
// again with every change of another entry.
func TestForeignEntriesAreReadOnce(t *testing.T) {
	w := newTable()
	r := registry.New(w.decode)
	for i := range 5000 {
		w.put(fmt.Sprintf("foreign-%d", i), nil)
	}
	_, found := update(r, w)
	for i := range 10 {
		w.put("u", up("10.0.0.1:1", 1, catalog.StateReady))
		if _, found := update(r, w); len(found) != 0 {
			t.Fatalf("found %v in change %d", found, i)
		}
	}
	if len(found) != 5000 || w.decoded != 5010 {
		t.Fatalf("found %d, decoded %d, want 5000 and 5010", len(found), w.decoded)
	}
}

// BenchmarkForeignEntries is one change of the registry beside 5,000 entries of another writer.
func BenchmarkForeignEntries(b *testing.B) {
	w := newTable()
	r := registry.New(w.decode)
	for i := range 5000 {
		w.put(fmt.Sprintf("foreign-%d", i), nil)
	}
	update(r, w)
	b.ReportAllocs()
	for b.Loop() {
		w.put("u", up("10.0.0.1:1", 1, catalog.StateReady))
		update(r, w)
	}
}
