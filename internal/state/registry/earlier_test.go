package registry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/registry"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

const heartbeat = time.Second

// returned is a registry table whose store came back older.
type returned struct {
	*table
	earlier []replica.EarlierRow
}

// lose records the row of a key as one of an earlier era.
func (r *returned) lose(key string, removed bool, over platform.Position) {
	for _, row := range r.rows {
		if row.Key == key {
			r.earlier = append(r.earlier, replica.EarlierRow{Change: platform.Change{Row: row, Removed: removed}, Over: over, Unwritten: true})
		}
	}
}

// states returns the states of the usable upstreams some time after the return, and the number of rows that no longer count.
func (r *returned) states(reg *registry.Registry, age time.Duration) (map[string]catalog.State, int) {
	list, _, settled := reg.UpdateTable(registry.Table{Rows: r.rows, Earlier: r.earlier, EraAge: age, Heartbeat: heartbeat}, services)
	out := map[string]catalog.State{}
	for _, u := range list.All() {
		out[string(u.ID)] = u.State
	}
	return out, len(settled)
}

// Guards against an upstream that is used although it had left before the store came back older, or that is not used for good
// although it is alive.
func TestUpstreamsAfterStoreCameBackOlder(t *testing.T) {
	tests := map[string]struct {
		before       catalog.State
		removed      bool
		shown        bool
		writtenSince bool
		age          time.Duration
		want         catalog.State
		settled      int
	}{
		"draining, shown as ready":                       {before: catalog.StateDraining, shown: true, age: time.Minute, want: catalog.StateDraining},
		"draining, ready was written since":              {before: catalog.StateDraining, shown: true, writtenSince: true, want: catalog.StateReady, settled: 1},
		"removed, shown as ready":                        {before: catalog.StateReady, removed: true, shown: true, age: 4 * heartbeat, want: ""},
		"removed, and still shown after some heartbeats": {before: catalog.StateReady, removed: true, shown: true, age: 2*time.Second + 3*heartbeat, want: catalog.StateReady, settled: 1},
		"removed, ready was written since":               {before: catalog.StateReady, removed: true, shown: true, writtenSince: true, want: catalog.StateReady, settled: 1},
		"missing":                                        {before: catalog.StateReady, age: 1900 * time.Millisecond, want: catalog.StateReady},
		"missing, draining before":                       {before: catalog.StateDraining, age: 1900 * time.Millisecond, want: catalog.StateDraining},
		"missing for 2 s":                                {before: catalog.StateReady, age: 2 * time.Second, want: "", settled: 1},
		"missing, removed since":                         {before: catalog.StateReady, writtenSince: true, want: "", settled: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := &returned{table: newTable()}
			reg := registry.New(r.decode)
			r.put("u", newUpstream("10.0.0.1:1", 7, tc.before))
			r.lose("u", tc.removed, platform.Position{})
			r.earlier[0].Unwritten = !tc.writtenSince
			if r.rows = nil; tc.shown {
				r.put("u", newUpstream("10.0.0.1:1", 7, catalog.StateReady))
			}
			want := map[string]catalog.State{}
			if tc.want != "" {
				want["u"] = tc.want
			}
			got, settled := r.states(reg, tc.age)
			if diff := cmp.Diff(want, got); diff != "" || settled != tc.settled {
				t.Fatalf("%d rows settled; %s", settled, diff)
			}
		})
	}
}

// Guards against a gateway that starts after the store came back older and takes an upstream for its earlier incarnation, which the
// store shows again, and so for a warm one.
func TestRestartBeforeStoreCameBackOlder(t *testing.T) {
	tests := map[string]struct {
		lost         catalog.State
		writtenSince bool
		age          time.Duration
		want         int64
		settled      int
	}{
		"the later one counts":              {lost: catalog.StateReady, age: 4 * heartbeat, want: 9},
		"the later one drained":             {lost: catalog.StateDraining, want: 9},
		"an entry was written since":        {lost: catalog.StateReady, writtenSince: true, want: 7, settled: 1},
		"still shown after some heartbeats": {lost: catalog.StateReady, age: 2*time.Second + 3*heartbeat, want: 7, settled: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := &returned{table: newTable()}
			r.put("u", newUpstream("10.0.0.1:1", 9, tc.lost))
			r.lose("u", false, platform.Position{})
			r.earlier[0].Unwritten = !tc.writtenSince
			r.rows = nil
			r.put("u", newUpstream("10.0.0.1:1", 7, catalog.StateReady))
			list, found, settled := registry.New(r.decode).UpdateTable(registry.Table{Rows: r.rows, Earlier: r.earlier, EraAge: tc.age, Heartbeat: heartbeat}, services)
			got := list.All()
			if len(got) != 1 || got[0].StartedAtMS != tc.want || len(settled) != tc.settled {
				t.Fatalf("%d rows settled, upstreams %v", len(settled), got)
			}
			if tc.want == 9 && (got[0].State != tc.lost || len(found) != 1 || found[0].Kind != registry.RestartedBefore) {
				t.Fatalf("state %v, findings %v", got[0].State, found)
			}
		})
	}
}

// Guards against an upstream without requests: another one had its address before, and the entry of that one, which the store
// only shows again, counts as the later one.
func TestOwnerOfAddressAfterStoreCameBackOlder(t *testing.T) {
	r := &returned{table: newTable()}
	reg := registry.New(r.decode)
	r.put("first", newUpstream("10.0.0.1:1", 1, catalog.StateReady))
	r.put("second", newUpstream("10.0.0.1:1", 1, catalog.StateReady))
	owned := map[string]catalog.State{"second": catalog.StateReady}
	if got, _ := r.states(reg, 0); cmp.Diff(owned, got) != "" {
		t.Fatalf("used %v", got)
	}
	r.lose("second", false, platform.Position{})
	r.rows = r.rows[:1]
	r.rows[0].Era = 1
	shownAgain := *r.upstreams[r.rows[0].Version]
	shownAgain.Written.Era = 1
	r.upstreams[r.rows[0].Version] = &shownAgain
	if got, _ := r.states(reg, time.Second); cmp.Diff(owned, got) != "" {
		t.Fatalf("after the return: used %v", got)
	}
}

// Guards against an upstream that gets twice its share, or requests after it has left, because the store came back older twice
// before its entry was written again.
func TestUpstreamMissingAfterTwoReturnsCountsOnce(t *testing.T) {
	for name, tc := range map[string]struct {
		first   catalog.State
		removed bool
		want    []catalog.State
	}{
		"ready":    {catalog.StateReady, false, []catalog.State{catalog.StateReady}},
		"draining": {catalog.StateDraining, false, []catalog.State{catalog.StateDraining}},
		"removed":  {catalog.StateReady, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := &returned{table: newTable()}
			reg := registry.New(r.decode)
			r.put("u", newUpstream("10.0.0.1:1", 7, tc.first))
			r.lose("u", tc.removed, platform.Position{})
			r.put("u", newUpstream("10.0.0.1:1", 7, catalog.StateReady))
			r.lose("u", false, platform.Position{})
			r.rows = nil
			list, _, _ := reg.UpdateTable(registry.Table{Earlier: r.earlier, EraAge: time.Second, Heartbeat: heartbeat}, services)
			var got []catalog.State
			for _, u := range list.Of("s") {
				got = append(got, u.State)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

// Guards against a running upstream that counts as ended because a store that came back older shows the entry of an incarnation
// before it, which this gateway has never seen. With the running incarnation, the gateway forgot that it was cold.
func TestRestoredEntryDoesNotEndRunningIncarnation(t *testing.T) {
	const earlierStart, start = 5, 7
	w := newTable()
	r := registry.New(w.decode)
	write := func(era uint64, startedAtMS int64) (map[string]catalog.State, []registry.Kind) {
		w.rows = nil
		w.put("u", newUpstream("10.0.0.1:1", startedAtMS, catalog.StateReady))
		w.rows[0].Era = era
		return update(r, w)
	}
	running := map[string]catalog.State{"u@7": catalog.StateReady}
	write(0, start)
	if got, found := write(1, earlierStart); !cmp.Equal(got, running) || !cmp.Equal(found, []registry.Kind{registry.Late}) {
		t.Errorf("restored: %v, found %v", got, found)
	}
	if got, found := write(1, start); !cmp.Equal(got, running) || len(found) > 0 {
		t.Errorf("written again: %v, found %v", got, found)
	}
	write(2, earlierStart)
	if got, found := write(2, earlierStart); !cmp.Equal(got, map[string]catalog.State{"u@5": catalog.StateReady}) || !cmp.Equal(found, []registry.Kind{registry.Restarted}) {
		t.Errorf("restarted with its clock set back: %v, found %v", got, found)
	}
}
