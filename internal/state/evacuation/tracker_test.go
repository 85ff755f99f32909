package evacuation_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
	"github.com/cardamomyoke/cardamomyoke/internal/state/evacuation"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

const hold = 5 * time.Second

var (
	start      = time.Unix(100, 0)
	errUnnamed = errors.New("no data centre")
)

func decode(row platform.Row) (ids.DataCentre, bool, error) {
	name, is := strings.CutPrefix(row.Key, "fake-key/")
	if is && name == "" {
		return "", true, errUnnamed
	}
	return ids.DataCentre(name), is, nil
}

func row(key string, version uint64) platform.Row {
	return platform.Row{Key: key, Version: version, Era: 2, Value: []byte("{}")}
}

func names(set *catalog.Evacuations) string {
	var out []string
	for _, e := range set.All() {
		out = append(out, string(e.DataCentre))
	}
	return strings.Join(out, " ")
}

// Guards against an evacuation that ends because its value cannot be read, and one that seems to begin anew when its row is
// written again, so that streams there would get the whole time again.
func TestOnlyKeyOfEvacuationCounts(t *testing.T) {
	tracker := evacuation.New(decode)
	unreadable := row("fake-key/a", 7)
	unreadable.Value = []byte{0xff, 0}
	for i, rows := range [][]platform.Row{{row("fake-key/a", 3), row("config", 4)}, {unreadable}} {
		set, found, _ := tracker.Update(evacuation.Table{Rows: rows}, start.Add(time.Duration(i)*time.Second))
		got, _ := set.Get("a")
		want := catalog.Evacuation{DataCentre: "a", Written: rows[0].Position(), Since: start}
		if diff := cmp.Diff(want, got); diff != "" || len(found) > 0 || set.Len() != 1 {
			t.Fatalf("update %d: %d evacuations, findings %v, %s", i, set.Len(), found, diff)
		}
	}
	if set, _, _ := tracker.Update(evacuation.Table{}, start); set.Len() != 0 {
		t.Fatal("still evacuated after the row was removed")
	}
}

// Guards against a row without a data centre that is logged with each change of the table, or hides other rows.
func TestRowWithoutDataCentreIsReportedOnce(t *testing.T) {
	tracker := evacuation.New(decode)
	table := evacuation.Table{Rows: []platform.Row{row("fake-key/", 3), row("fake-key/b", 4)}}
	set, found, _ := tracker.Update(table, start)
	if len(found) != 1 || found[0].Kind != evacuation.Unnamed || !errors.Is(found[0].Err, errUnnamed) || names(set) != "b" {
		t.Fatalf("evacuated %q, findings %v", names(set), found)
	}
	if _, found, _ := tracker.Update(table, start); len(found) > 0 {
		t.Fatalf("reported again: %v", found)
	}
}

// Guards against requests to a data centre whose evacuation the store has lost, and against an evacuation that the operator
// had withdrawn and that the store shows again.
func TestEvacuationAfterStoreCameBackOlder(t *testing.T) {
	const key = "fake-key/a"
	at := func(era, version uint64, removed, unwritten bool) replica.EarlierRow {
		r := platform.Row{Key: key, Era: era, Version: version}
		return replica.EarlierRow{Change: platform.Change{Row: r, Removed: removed}, Unwritten: unwritten}
	}
	missing, withdrawn := []evacuation.Kind{evacuation.MissingSince}, []evacuation.Kind{evacuation.WithdrawnBefore}
	tests := map[string]struct {
		shown   bool
		earlier []replica.EarlierRow
		age     time.Duration
		want    string
		found   []evacuation.Kind
		settled int
	}{
		"missing":                              {earlier: []replica.EarlierRow{at(1, 5, false, true)}, want: "a", found: missing},
		"missing until the end of the time":    {earlier: []replica.EarlierRow{at(1, 5, false, true)}, age: hold, settled: 1},
		"missing, withdrawn since":             {earlier: []replica.EarlierRow{at(1, 5, false, false)}, settled: 1},
		"withdrawn, shown":                     {shown: true, earlier: []replica.EarlierRow{at(1, 5, true, true)}, found: withdrawn},
		"withdrawn, shown after the time":      {shown: true, earlier: []replica.EarlierRow{at(1, 5, true, true)}, age: hold, want: "a", settled: 1},
		"withdrawn, requested since":           {shown: true, earlier: []replica.EarlierRow{at(1, 5, true, false)}, want: "a", settled: 1},
		"withdrawn, not shown":                 {earlier: []replica.EarlierRow{at(1, 5, true, true)}, settled: 1},
		"in force, shown":                      {shown: true, earlier: []replica.EarlierRow{at(1, 5, false, true)}, want: "a", settled: 1},
		"withdrawn in one era, then requested": {earlier: []replica.EarlierRow{at(1, 2, false, true), at(0, 9, true, true)}, want: "a", found: missing},
		"requested in one era, then withdrawn": {shown: true, earlier: []replica.EarlierRow{at(1, 2, true, true), at(0, 9, false, true)}, found: withdrawn},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := evacuation.Table{Earlier: tc.earlier, EraAge: tc.age, Hold: hold}
			if tc.shown {
				table.Rows = []platform.Row{row(key, 1)}
			}
			set, found, settled := evacuation.New(decode).Update(table, start)
			var kinds []evacuation.Kind
			for _, f := range found {
				kinds = append(kinds, f.Kind)
			}
			if diff := cmp.Diff(tc.found, kinds); diff != "" || names(set) != tc.want || len(settled) != tc.settled {
				t.Fatalf("evacuated %q, %d settled, findings %s", names(set), len(settled), diff)
			}
		})
	}
}

// Guards against a configuration's row of an earlier era that is dropped as one about an evacuation.
func TestOtherEarlierRowsAreLeftAlone(t *testing.T) {
	earlier := replica.EarlierRow{Change: platform.Change{Row: platform.Row{Key: "config", Era: 1, Version: 5}}}
	if _, _, settled := evacuation.New(decode).Update(evacuation.Table{Earlier: []replica.EarlierRow{earlier}}, start); len(settled) > 0 {
		t.Fatalf("settled %v", settled)
	}
}
