package replica_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// snapshot returns the state to which comeBack returns the source.
func (s *source) snapshot() source {
	return source{rows: maps.Clone(s.rows), history: slices.Clone(s.history), version: s.version}
}

// comeBack makes the source what it was, in the next era.
func (s *source) comeBack(older source) {
	era := s.era + 1
	*s = older.snapshot()
	s.era = era
}

// Guards against a copy that goes back to an earlier era, or that is not what the store has after it came back older any
// number of times. Copies follow the feed, read full tables, pull from each other and get late responses, in any sequence.
func TestReplicasFollowStoreThroughEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := &source{rows: map[string]platform.Row{}, era: 1}
		older := src.snapshot()
		copies := []*replica.Replica{replica.NewReplica("t"), replica.NewReplica("t"), replica.NewReplica("t")}
		reached := map[*replica.Replica]platform.Position{}
		type response struct {
			rows []platform.Row
			to   platform.Position
		}
		late := response{src.all(), src.at()}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			c := rapid.SampledFrom(copies).Draw(t, "copy")
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			after, loaded := c.Position()
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0:
				src.put(key, fmt.Sprint("v", src.at()))
			case 1:
				src.remove(key)
			case 2:
				c.Load(src.all(), src.at())
			case 3:
				if loaded && after.Era == src.era {
					c.Apply(src.since(after), src.at())
				}
			case 4:
				c.Merge(rapid.SampledFrom(copies).Draw(t, "from").Since(after))
			case 5:
				src.comeBack(older)
			case 6:
				older = src.snapshot()
			case 7:
				c.Load(late.rows, late.to)
				late = response{src.all(), src.at()}
			}
			now, _ := c.Position()
			if now.Before(reached[c]) {
				t.Fatalf("a copy went back from %s to %s", reached[c], now)
			}
			reached[c] = now
		}
		copies[0].Load(src.all(), src.at())
		for _, c := range copies {
			after, _ := c.Position()
			c.Merge(copies[0].Since(after))
			if diff := cmp.Diff(src.content(), content(c)); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

// Guards against a change of an ended era that is taken for news, because its response arrives after one of the next era and
// has a higher version.
func TestLateResponseOfEndedEraIsIgnored(t *testing.T) {
	src := &source{rows: map[string]platform.Row{}, era: 1}
	older := src.snapshot()
	src.put("a", "lost")
	src.put("b", "lost")
	lateRows, lateChanges, lateTo := src.all(), src.since(platform.Position{}), src.at()
	ended := replica.NewReplica("t")
	ended.Load(lateRows, lateTo)
	src.comeBack(older)
	src.put("a", "again")
	c := replica.NewReplica("t")
	c.Load(src.all(), src.at())
	if c.Apply(lateChanges, lateTo) || c.Load(lateRows, lateTo) || c.Merge(ended.Since(platform.Position{})) {
		t.Error("a row of an ended era changed the copy")
	}
	if diff := cmp.Diff(src.content(), content(c)); diff != "" {
		t.Fatal(diff)
	}
}

func earlierValues(r *replica.Replica) map[string]string {
	out := map[string]string{}
	rows, _ := r.Earlier()
	for _, e := range rows {
		state := string(e.Value)
		if e.Removed {
			state = "removed"
		}
		if !e.Unwritten {
			state += ", written since"
		}
		out[e.Key] = state
	}
	return out
}

// Guards against rows that nobody knows any more after the store has lost them, also if it comes back older twice before
// they are written again, and at a copy that was first read after the return.
func TestLostRowsAreKeptUntilTheyAreForgotten(t *testing.T) {
	src := &source{rows: map[string]platform.Row{}, era: 1}
	src.put("left", "ready")
	src.put("kept", "ready")
	src.put("gone", "ready")
	older := src.snapshot()
	src.put("left", "draining")
	src.put("new", "ready")
	src.remove("gone")
	c := replica.NewReplica("t")
	c.Load(older.all(), older.at())
	c.Load(src.all(), src.at())
	want := map[string]string{"left": "draining", "new": "ready", "gone": "removed"}
	for range 2 {
		src.comeBack(older)
		c.Load(src.all(), src.at())
		if diff := cmp.Diff(want, earlierValues(c)); diff != "" {
			t.Fatal(diff)
		}
	}
	fresh := replica.NewReplica("t")
	fresh.Load(src.all(), src.at())
	if fresh.EarlierFingerprint() == c.EarlierFingerprint() {
		t.Error("a copy without rows of earlier eras has the same fingerprint")
	}
	fresh.Merge(c.Since(src.at()))
	if diff := cmp.Diff(want, earlierValues(fresh)); diff != "" || fresh.EarlierFingerprint() != c.EarlierFingerprint() {
		t.Fatal(diff)
	}
	after, _ := c.Position()
	src.put("left", "draining")
	c.Apply(src.since(after), src.at())
	if got := earlierValues(c)["left"]; got != "draining, written since" {
		t.Errorf("after it was written again: %q", got)
	}
	rows, _ := c.Earlier()
	c.Forget(rows)
	if got := earlierValues(c); len(got) != 0 || c.EarlierFingerprint() != 0 {
		t.Errorf("after all were forgotten: %v", got)
	}
}

// Guards against a row that the store shows again although it was missing for the whole of an era: it was gone.
func TestRowThatWasGoneInOneEraIsRemovedInTheNext(t *testing.T) {
	src := &source{rows: map[string]platform.Row{}, era: 1}
	without := src.snapshot()
	src.put("a", "ready")
	with := src.snapshot()
	c := replica.NewReplica("t")
	c.Load(src.all(), src.at())
	src.comeBack(without)
	c.Load(src.all(), src.at())
	rows, _ := c.Earlier()
	c.Forget(rows)
	src.comeBack(with)
	c.Load(src.all(), src.at())
	if diff := cmp.Diff(map[string]string{"a": "removed"}, earlierValues(c)); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a gateway that starts long after the store came back older and counts the time from its own first read.
func TestAgeOfEraIsThatOfThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &source{rows: map[string]platform.Row{}, era: 1}
		older := src.snapshot()
		c, fresh := replica.NewReplica("t"), replica.NewReplica("t")
		c.Load(src.all(), src.at())
		src.comeBack(older)
		c.Load(src.all(), src.at())
		time.Sleep(1500 * time.Millisecond)
		fresh.Load(src.all(), src.at())
		if got := fresh.EraAge(); got != 0 {
			t.Errorf("age %s before the copy knows of another era", got)
		}
		fresh.ObserveEraAge(src.era+1, time.Hour)
		fresh.ObserveEraAge(src.era, c.EraAge())
		time.Sleep(time.Second)
		if got := fresh.EraAge(); got != 2500*time.Millisecond {
			t.Errorf("age %s", got)
		}
	})
}
