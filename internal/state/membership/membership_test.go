package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/charts"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
)

const (
	entryRole = cardamomyokev1.NodeRole_NODE_ROLE_ENTRY
	slotRole  = cardamomyokev1.NodeRole_NODE_ROLE_SLOT
	live      = cardamomyokev1.NodeState_NODE_STATE_LIVE
	leaving   = cardamomyokev1.NodeState_NODE_STATE_LEAVING
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func self(name string, role cardamomyokev1.NodeRole, dc string) membership.Identity {
	return membership.Identity{Name: ids.Node(name), Role: role, DataCentre: ids.DataCentre(dc), Digests: "d-" + name}
}

func digest(name, life string, seq uint64, state cardamomyokev1.NodeState) *cardamomyokev1.Digest {
	return &cardamomyokev1.Digest{
		Node: name, Incarnation: life, Sequence: seq, Role: entryRole, State: state, DataCentre: "a",
		HttpAddress: "h-" + name, DigestAddress: "d-" + name,
	}
}

func stateOf(l *membership.MemberList, name string) charts.State {
	for _, n := range l.Nodes() {
		if string(n.Name) == name {
			return n.State
		}
	}
	return ""
}

func TestDigestsAreOrderedByLifeAndSequence(t *testing.T) {
	tests := map[string]struct {
		digests []*cardamomyokev1.Digest
		news    []bool
		state   charts.State
	}{
		"doubled":                 {[]*cardamomyokev1.Digest{digest("x", "1", 1, live), digest("x", "1", 1, live)}, []bool{true, false}, "live"},
		"late":                    {[]*cardamomyokev1.Digest{digest("x", "1", 2, leaving), digest("x", "1", 1, live)}, []bool{true, false}, "leaving"},
		"leaving is final":        {[]*cardamomyokev1.Digest{digest("x", "1", 1, leaving), digest("x", "1", 2, live)}, []bool{true, true}, "leaving"},
		"next life":               {[]*cardamomyokev1.Digest{digest("x", "1", 9, leaving), digest("x", "2", 1, live)}, []bool{true, true}, "live"},
		"late of an earlier life": {[]*cardamomyokev1.Digest{digest("x", "2", 1, live), digest("x", "1", 9, leaving)}, []bool{true, false}, "live"},
		"own":                     {[]*cardamomyokev1.Digest{digest("me", "1", 1, live)}, []bool{false}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			list := membership.New(self("me", entryRole, "a"), membership.Defaults(), t0)
			var news []bool
			for _, d := range tc.digests {
				news = append(news, list.Receive(d, t0))
			}
			if diff := cmp.Diff(tc.news, news); diff != "" {
				t.Fatal(diff)
			}
			if got := stateOf(list, tc.digests[0].GetNode()); got != tc.state {
				t.Fatalf("state %q, want %q", got, tc.state)
			}
		})
	}
}

// run lets time pass in ticks of 250 ms.
func run(list *membership.MemberList, from time.Time, d time.Duration, each func(now time.Time)) time.Time {
	now := from
	for now.Before(from.Add(d)) {
		now = now.Add(250 * time.Millisecond)
		each(now)
		list.Tick(now)
	}
	return now
}

// A caller is no longer given an address whose entry went silent, and is given it again once the entry is heard: a
// suspicion is refuted by any newer digest, and a node that was long silent is forgotten.
func TestASilentEntryIsSuspectUntilItIsHeard(t *testing.T) {
	list := membership.New(self("me", entryRole, "a"), membership.Defaults(), t0)
	list.Receive(digest("x", "1", 1, live), t0)
	now := run(list, t0, 9*time.Second, func(time.Time) {})
	if near, _ := list.Addresses(""); stateOf(list, "x") != membership.StateSuspect || len(near) != 0 {
		t.Fatalf("state %s, addresses %v", stateOf(list, "x"), near)
	}
	list.Receive(digest("x", "1", 2, live), now)
	if near, _ := list.Addresses(""); len(near) != 1 {
		t.Fatalf("addresses %v", near)
	}
	run(list, now, 50*time.Second, func(time.Time) {})
	if got := stateOf(list, "x"); got != "" {
		t.Fatalf("a node that is long silent is still %s", got)
	}
}

// The callers of an entry whose host was paused for a minute are not left without addresses when it wakes up: the
// others were not silent, it did not listen.
func TestAPausedNodeDoesNotTakeTheOthersForLost(t *testing.T) {
	list := membership.New(self("me", entryRole, "a"), membership.Defaults(), t0)
	list.Receive(digest("x", "1", 1, live), t0)
	list.Tick(t0.Add(250 * time.Millisecond))
	list.Tick(t0.Add(time.Minute))
	if got := stateOf(list, "x"); got != membership.StateLive {
		t.Fatalf("state %s", got)
	}
}

func roster(entries, slots, centres int) []membership.Identity {
	var out []membership.Identity
	add := func(kind string, role cardamomyokev1.NodeRole, n int) {
		for i := range n {
			name := fmt.Sprintf("%s-%03d", kind, i)
			dc := ids.DataCentre(fmt.Sprintf("dc-%d", i%centres))
			out = append(out, membership.Identity{Name: ids.Node(name), Role: role, DataCentre: dc, Digests: "d-" + name})
		}
	}
	add("entry", entryRole, entries)
	add("slot", slotRole, slots)
	return out
}

// At the size of the target nobody tells more nodes than the budget allows, each slot tells eight entries, six of them
// in its own data centre, and no entry is told by none.
func TestSubsetsAtTheTargetSize(t *testing.T) {
	all := roster(360, 780, 6)
	heardBy := map[string]int{}
	for _, r := range all {
		list := membership.New(r, membership.Defaults(), t0)
		list.SetRoster(all, t0)
		targets := list.DueTargets(nil, t0, true)
		if len(targets) > 24 {
			t.Fatalf("%s tells %d nodes", r.Name, len(targets))
		}
		if r.Role != slotRole {
			continue
		}
		if len(targets) != 8 {
			t.Fatalf("%s tells %d entries", r.Name, len(targets))
		}
		for _, target := range targets {
			heardBy[target.Address]++
		}
	}
	for _, r := range all {
		if r.Role == entryRole && (heardBy[r.Digests] < 4 || heardBy[r.Digests] > 40) {
			t.Fatalf("%s is told by %d slots", r.Name, heardBy[r.Digests])
		}
	}
}

// One entry that goes moves few slots: only those that told it choose another one.
func TestLosingAnEntryMovesFewSlots(t *testing.T) {
	all := roster(60, 130, 1)
	moved := 0
	for _, r := range all[60:] {
		list := membership.New(r, membership.Defaults(), t0)
		list.SetRoster(all, t0)
		before := addresses(list.DueTargets(nil, t0, true))
		list.Receive(&cardamomyokev1.Digest{Node: "entry-007", Incarnation: "1", Sequence: 1, Role: entryRole, DataCentre: "dc-0", DigestAddress: "d-entry-007"}, t0)
		now := run(list, t0, 9*time.Second, func(now time.Time) {
			for _, e := range all[:60] {
				if e.Name != "entry-007" {
					list.Receive(&cardamomyokev1.Digest{
						Node: string(e.Name), Incarnation: "1", Sequence: uint64(now.Sub(t0)), Role: entryRole,
						DataCentre: string(e.DataCentre), DigestAddress: e.Digests,
					}, now)
				}
			}
		})
		list.DueTargets(nil, now, true) // this one may hold a probe of the lost entry besides
		after := addresses(list.DueTargets(nil, now, true))
		changed := 0
		for a := range before {
			if !after[a] {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%s changed %d of its entries for one that went", r.Name, changed)
		}
		moved += changed
	}
	if moved == 0 || moved > 40 {
		t.Fatalf("%d of 130 slots moved", moved)
	}
}

func addresses(list []membership.Target) map[string]bool {
	out := map[string]bool{}
	for _, v := range list {
		out[v.Address] = true
	}
	return out
}

// A new entry that replaces another one starts while the table is down: no roster names it, and it knows only seeds.
// Its peers learn of it from its digests, and it tells the slots that it hears.
func TestANodeThatNoRosterNamesIsTakenIn(t *testing.T) {
	newcomer := membership.New(self("new", entryRole, "a"), membership.Defaults(), t0)
	if got := addresses(newcomer.DueTargets([]string{"d-x"}, t0, true)); !got["d-x"] {
		t.Fatalf("tells %v", got)
	}
	peer := membership.New(self("x", entryRole, "a"), membership.Defaults(), t0)
	peer.Receive(digest("new", "1", 1, live), t0)
	if got := addresses(peer.DueTargets(nil, t0, true)); !got["d-new"] {
		t.Fatalf("the peer tells %v", got)
	}
	if near, _ := peer.Addresses(""); len(near) != 1 {
		t.Fatalf("addresses %v", near)
	}
}

// Callers in one region are given no address of the other while the regions are parted, and are given them again soon
// after the network is whole: each side took the other for gone and would have told it nothing more.
func TestPartedRegionsFindEachOtherAgain(t *testing.T) {
	all := roster(6, 0, 2)
	lists := map[string]*membership.MemberList{}
	for _, r := range all {
		list := membership.New(r, membership.Defaults(), t0)
		list.SetRoster(all, t0)
		lists[r.Digests] = list
	}
	cut := false
	exchange := func(now time.Time) {
		for _, r := range all {
			d := &cardamomyokev1.Digest{
				Node: string(r.Name), Incarnation: "1", Sequence: uint64(now.Sub(t0)), Role: entryRole, State: live,
				DataCentre: string(r.DataCentre), DigestAddress: r.Digests, HttpAddress: "h-" + string(r.Name),
			}
			for _, to := range lists[r.Digests].DueTargets(nil, now, false) {
				if !cut || sameCentre(all, to.Address, r.DataCentre) {
					lists[to.Address].Receive(d, now)
				}
			}
		}
		for _, list := range lists {
			list.Tick(now)
		}
	}
	turn := func(from time.Time, d time.Duration) time.Time {
		now := from
		for now.Before(from.Add(d)) {
			now = now.Add(250 * time.Millisecond)
			exchange(now)
		}
		return now
	}
	far := func() int {
		_, list := lists["d-entry-000"].Addresses("")
		return len(list)
	}
	now := turn(t0, 5*time.Second)
	if far() == 0 {
		t.Fatal("the other region is not known before the cut")
	}
	cut = true
	now = turn(now, 3*time.Minute)
	if far() != 0 {
		t.Fatal("callers are sent to a region that cannot be reached")
	}
	cut = false
	turn(now, 10*time.Second)
	if far() == 0 {
		t.Fatal("the regions stay parted")
	}
}

func sameCentre(all []membership.Identity, address string, dc ids.DataCentre) bool {
	for _, r := range all {
		if r.Digests == address {
			return r.DataCentre == dc
		}
	}
	return false
}
