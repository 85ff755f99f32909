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
	return membership.Identity{Name: ids.Node(name), Role: role, DataCentre: ids.DataCentre(dc), DigestAddress: "d-" + name}
}

func digest(name, incarnation string, seq uint64, state cardamomyokev1.NodeState) *cardamomyokev1.Digest {
	return &cardamomyokev1.Digest{
		Node: name, Incarnation: incarnation, Sequence: seq, Role: entryRole, State: state, DataCentre: "a",
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

func TestDigestsAreOrderedByIncarnationAndSequence(t *testing.T) {
	tests := map[string]struct {
		digests []*cardamomyokev1.Digest
		newer   []bool
		state   charts.State
	}{
		"duplicate":                      {[]*cardamomyokev1.Digest{digest("x", "1", 1, live), digest("x", "1", 1, live)}, []bool{true, false}, "live"},
		"late":                           {[]*cardamomyokev1.Digest{digest("x", "1", 2, leaving), digest("x", "1", 1, live)}, []bool{true, false}, "leaving"},
		"leaving is final":               {[]*cardamomyokev1.Digest{digest("x", "1", 1, leaving), digest("x", "1", 2, live)}, []bool{true, true}, "leaving"},
		"next incarnation":               {[]*cardamomyokev1.Digest{digest("x", "1", 9, leaving), digest("x", "2", 1, live)}, []bool{true, true}, "live"},
		"late of an earlier incarnation": {[]*cardamomyokev1.Digest{digest("x", "2", 1, live), digest("x", "1", 9, leaving)}, []bool{true, false}, "live"},
		"own":                            {[]*cardamomyokev1.Digest{digest("me", "1", 1, live)}, []bool{false}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			list := membership.New(self("me", entryRole, "a"), membership.Defaults(), t0)
			var newer []bool
			for _, d := range tc.digests {
				newer = append(newer, list.Receive(d, t0))
			}
			if diff := cmp.Diff(tc.newer, newer); diff != "" {
				t.Fatal(diff)
			}
			if got := stateOf(list, tc.digests[0].GetNode()); got != tc.state {
				t.Fatalf("state %q, want %q", got, tc.state)
			}
		})
	}
}

// run advances the clock in ticks of 250 ms.
func run(list *membership.MemberList, from time.Time, d time.Duration, each func(now time.Time)) time.Time {
	now := from
	for now.Before(from.Add(d)) {
		now = now.Add(250 * time.Millisecond)
		each(now)
		list.Tick(now)
	}
	return now
}

// Guards against callers that receive the address of an entry whose digests have stopped arriving, or do not receive it
// again after the entry's next digest, because any newer digest refutes a suspicion. A node without digests for long is
// forgotten.
func TestSilentEntryIsSuspectUntilNextDigest(t *testing.T) {
	list := membership.New(self("me", entryRole, "a"), membership.Defaults(), t0)
	list.Receive(digest("x", "1", 1, live), t0)
	now := run(list, t0, 9*time.Second, func(time.Time) {})
	if local, _ := list.Addresses(""); stateOf(list, "x") != membership.StateSuspect || len(local) != 0 {
		t.Fatalf("state %s, addresses %v", stateOf(list, "x"), local)
	}
	list.Receive(digest("x", "1", 2, live), now)
	if local, _ := list.Addresses(""); len(local) != 1 {
		t.Fatalf("addresses %v", local)
	}
	run(list, now, 50*time.Second, func(time.Time) {})
	if got := stateOf(list, "x"); got != "" {
		t.Fatalf("a node without digests for long is still %s", got)
	}
}

// Guards against callers of an entry that receive no addresses after its host was paused for a minute: the entry was
// unresponsive, not the other nodes.
func TestPausedNodeKeepsOthersLive(t *testing.T) {
	list := membership.New(self("me", entryRole, "a"), membership.Defaults(), t0)
	list.Receive(digest("x", "1", 1, live), t0)
	list.Tick(t0.Add(250 * time.Millisecond))
	list.Tick(t0.Add(time.Minute))
	if got := stateOf(list, "x"); got != membership.StateLive {
		t.Fatalf("state %s", got)
	}
}

func roster(entries, slots, dataCentres int) []membership.Identity {
	var out []membership.Identity
	add := func(kind string, role cardamomyokev1.NodeRole, n int) {
		for i := range n {
			name := fmt.Sprintf("%s-%03d", kind, i)
			dc := ids.DataCentre(fmt.Sprintf("dc-%d", i%dataCentres))
			out = append(out, membership.Identity{Name: ids.Node(name), Role: role, DataCentre: dc, DigestAddress: "d-" + name})
		}
	}
	add("entry", entryRole, entries)
	add("slot", slotRole, slots)
	return out
}

// Guards against a node that, at the target size, sends digests to more nodes than the budget allows, and against an
// entry that receives digests from no slot. Each slot sends them to eight entries.
func TestSubsetsAtTheTargetSize(t *testing.T) {
	all := roster(360, 780, 6)
	sendersOf := map[string]int{}
	for _, r := range all {
		list := membership.New(r, membership.Defaults(), t0)
		list.SetRoster(all, t0)
		targets := list.DueTargets(nil, t0, true)
		if len(targets) > 24 {
			t.Fatalf("%s sends to %d nodes", r.Name, len(targets))
		}
		if r.Role != slotRole {
			continue
		}
		if len(targets) != 8 {
			t.Fatalf("%s sends to %d entries", r.Name, len(targets))
		}
		for _, target := range targets {
			sendersOf[target.Address]++
		}
	}
	for _, r := range all {
		if r.Role == entryRole && (sendersOf[r.DigestAddress] < 4 || sendersOf[r.DigestAddress] > 40) {
			t.Fatalf("%s receives from %d slots", r.Name, sendersOf[r.DigestAddress])
		}
	}
}

// Guards against the death of one entry that moves many slots: only those that sent digests to it may choose another
// one.
func TestDeadEntryMovesFewSlots(t *testing.T) {
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
						DataCentre: string(e.DataCentre), DigestAddress: e.DigestAddress,
					}, now)
				}
			}
		})
		list.DueTargets(nil, now, true) // This call may also return a probe of the dead entry.
		after := addresses(list.DueTargets(nil, now, true))
		changed := 0
		for a := range before {
			if !after[a] {
				changed++
			}
		}
		if changed > 1 {
			t.Fatalf("%s changed %d of its entries because one is dead", r.Name, changed)
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

// Guards against an entry that no peer adds because it replaces another one while the table is unavailable: it is in no
// roster and has only seeds. Its peers must add it when they receive its digests.
func TestNodeOutsideRosterIsAdded(t *testing.T) {
	newEntry := membership.New(self("new", entryRole, "a"), membership.Defaults(), t0)
	if got := addresses(newEntry.DueTargets([]string{"d-x"}, t0, true)); !got["d-x"] {
		t.Fatalf("sends to %v", got)
	}
	peer := membership.New(self("x", entryRole, "a"), membership.Defaults(), t0)
	peer.Receive(digest("new", "1", 1, live), t0)
	if got := addresses(peer.DueTargets(nil, t0, true)); !got["d-new"] {
		t.Fatalf("the peer sends to %v", got)
	}
	if local, _ := peer.Addresses(""); len(local) != 1 {
		t.Fatalf("addresses %v", local)
	}
}

// Guards against two regions that stay apart after a partition. While they are partitioned, callers in one must not
// receive addresses of the other; soon after the partition ends they must receive them again. Without probes each side
// would treat the other as dead and send it no more digests.
func TestPartitionedRegionsReconnect(t *testing.T) {
	all := roster(6, 0, 2)
	lists := map[string]*membership.MemberList{}
	for _, r := range all {
		list := membership.New(r, membership.Defaults(), t0)
		list.SetRoster(all, t0)
		lists[r.DigestAddress] = list
	}
	partitioned := false
	exchange := func(now time.Time) {
		for _, r := range all {
			d := &cardamomyokev1.Digest{
				Node: string(r.Name), Incarnation: "1", Sequence: uint64(now.Sub(t0)), Role: entryRole, State: live,
				DataCentre: string(r.DataCentre), DigestAddress: r.DigestAddress, HttpAddress: "h-" + string(r.Name),
			}
			for _, to := range lists[r.DigestAddress].DueTargets(nil, now, false) {
				if !partitioned || sameCentre(all, to.Address, r.DataCentre) {
					lists[to.Address].Receive(d, now)
				}
			}
		}
		for _, list := range lists {
			list.Tick(now)
		}
	}
	advance := func(from time.Time, d time.Duration) time.Time {
		now := from
		for now.Before(from.Add(d)) {
			now = now.Add(250 * time.Millisecond)
			exchange(now)
		}
		return now
	}
	remoteCount := func() int {
		_, list := lists["d-entry-000"].Addresses("")
		return len(list)
	}
	now := advance(t0, 5*time.Second)
	if remoteCount() == 0 {
		t.Fatal("no entry of the other region is live before the partition")
	}
	partitioned = true
	now = advance(now, 3*time.Minute)
	if remoteCount() != 0 {
		t.Fatal("callers are sent to a region that cannot be reached")
	}
	partitioned = false
	advance(now, 10*time.Second)
	if remoteCount() == 0 {
		t.Fatal("the regions stay partitioned")
	}
}

func sameCentre(all []membership.Identity, address string, dc ids.DataCentre) bool {
	for _, r := range all {
		if r.DigestAddress == address {
			return r.DataCentre == dc
		}
	}
	return false
}
