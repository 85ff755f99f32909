package replica_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/replica"
)

// source is the store's table with its history.
type source struct {
	rows    map[string]platform.Row
	history []platform.Change
	version uint64
	era     uint64
}

func (s *source) put(key, value string) {
	s.version++
	row := platform.Row{Key: key, Version: s.version, Value: []byte(value)}
	s.rows[key] = row
	s.history = append(s.history, platform.Change{Row: row})
}

func (s *source) remove(key string) {
	s.version++
	delete(s.rows, key)
	s.history = append(s.history, platform.Change{Row: platform.Row{Key: key, Version: s.version}, Removed: true})
}

// at returns the position of the last change.
func (s *source) at() platform.Position { return platform.Position{Era: s.era, Version: s.version} }

func (s *source) since(p platform.Position) []platform.Change {
	var out []platform.Change
	for _, c := range s.history {
		if c.Version > p.Version {
			out = append(out, c)
		}
	}
	return out
}

func (s *source) all() []platform.Row {
	var out []platform.Row
	for _, r := range s.rows {
		out = append(out, r)
	}
	return out
}

func content(r *replica.Replica) map[string]string {
	out := map[string]string{}
	for _, row := range r.Rows() {
		out[row.Key] = fmt.Sprintf("%s@%d", row.Value, row.Version)
	}
	return out
}

func (s *source) content() map[string]string {
	out := map[string]string{}
	for k, r := range s.rows {
		out[k] = fmt.Sprintf("%s@%d", r.Value, r.Version)
	}
	return out
}

// Guards against a row whose version decreases in a copy, and against a copy that is not up to date after it pulled
// from one that is. Copies follow the feed, read full tables, and pull from each other, in any sequence.
func TestReplicasOnlyMoveForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := &source{rows: map[string]platform.Row{}}
		copies := []*replica.Replica{replica.NewReplica("t"), replica.NewReplica("t"), replica.NewReplica("t")}
		newest := map[*replica.Replica]map[string]uint64{}
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			c := rapid.SampledFrom(copies).Draw(t, "copy")
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				src.put(key, fmt.Sprint("v", src.version))
			case 1:
				src.remove(key)
			case 2:
				c.Load(src.all(), src.at())
			case 3:
				if after, ok := c.Position(); ok {
					c.Apply(src.since(after), src.at())
				}
			case 4:
				from := rapid.SampledFrom(copies).Draw(t, "from")
				after, _ := c.Position()
				c.Merge(from.Since(after))
			case 5:
				// A response that arrives late.
				if after, ok := c.Position(); ok && after.Version > 0 {
					after.Version /= 2
					old := src.since(after)
					c.Apply(old[:min(1, len(old))], after)
				}
			}
			checkForward(t, c, newest)
		}
		c := copies[0]
		c.Load(src.all(), src.at())
		if diff := cmp.Diff(src.content(), content(c)); diff != "" {
			t.Fatal(diff)
		}
		for _, other := range copies[1:] {
			after, _ := other.Position()
			other.Merge(c.Since(after))
			if diff := cmp.Diff(src.content(), content(other)); diff != "" {
				t.Fatalf("after a pull: %s", diff)
			}
		}
	})
}

func checkForward(t *rapid.T, c *replica.Replica, newest map[*replica.Replica]map[string]uint64) {
	seen := newest[c]
	if seen == nil {
		seen = map[string]uint64{}
	}
	now := map[string]uint64{}
	for _, r := range c.Rows() {
		now[r.Key] = r.Version
		if r.Version < seen[r.Key] {
			t.Fatalf("row %s went back from %d to %d", r.Key, seen[r.Key], r.Version)
		}
	}
	maps.Copy(seen, now)
	newest[c] = seen
}

// Guards against removed rows that stay in the copy of a node that was partitioned for long and pulls from one that
// no longer retains each removed row. It must get the full table.
func TestReplicaFarBehindGetsFullTable(t *testing.T) {
	src := &source{rows: map[string]platform.Row{}}
	src.put("kept", "v")
	src.put("gone", "v")
	behind, ahead := replica.NewReplica("t"), replica.NewReplica("t")
	behind.Load(src.all(), src.at())
	ahead.Load(src.all(), src.at())
	src.remove("gone")
	for i := range 2000 {
		src.put(fmt.Sprint("x", i), "v")
		src.remove(fmt.Sprint("x", i))
	}
	after, _ := ahead.Position()
	ahead.Apply(src.since(after), src.at())
	after, _ = behind.Position()
	d := ahead.Since(after)
	if !d.Full {
		t.Fatal("got only the changes, want the full table")
	}
	behind.Merge(d)
	if diff := cmp.Diff(src.content(), content(behind)); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against a gateway that handles requests by an old configuration because a pulled copy serves no other. Two
// gateways restart one after the other while the store is unreachable. The first pulls the table from a peer that has
// followed it from the start; the second pulls from the first, which gossips its newest change.
func TestPulledReplicaServesOthers(t *testing.T) {
	src := &source{rows: map[string]platform.Row{}}
	first, second, third := replica.NewReplica("t"), replica.NewReplica("t"), replica.NewReplica("t")
	first.Load(src.all(), src.at())
	src.put("a", "1")
	src.put("b", "1")
	src.remove("a")
	first.Apply(src.since(platform.Position{}), src.at())
	second.Merge(first.Since(platform.Position{}))
	if _, loaded := second.Position(); !loaded {
		t.Error("a fully pulled copy counts as not loaded")
	}
	third.Merge(second.Since(platform.Position{}))
	if diff := cmp.Diff(src.content(), content(third)); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against requests for a change that a gateway does not lack, which would cost each peer a response per
// digest, forever. The gateway starts after the latest change, the removal of a row, and reads the full table; its
// peers gossip the version of that change.
func TestFullReplicaHasEarlierRemovals(t *testing.T) {
	src := &source{rows: map[string]platform.Row{}}
	src.put("kept", "v")
	src.put("gone", "v")
	src.remove("gone")
	removed := src.at()
	fresh := replica.NewReplica("t")
	if fresh.Has(removed) {
		t.Fatal("an empty copy has a change")
	}
	fresh.Load(src.all(), src.at())
	next := platform.Position{Version: removed.Version + 1}
	if !fresh.Has(removed) || fresh.Has(next) {
		t.Fatalf("has %s: %t, has %s: %t", removed, fresh.Has(removed), next, fresh.Has(next))
	}
}
