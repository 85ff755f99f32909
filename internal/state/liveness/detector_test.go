package liveness_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
)

// addressTTL is how long callers use an address: a dead gateway should not be listed for longer than that.
const addressTTL = time.Second

// timeUntilAllKnow returns the time from since until all live members had declared or learned that the given ones are
// dead; negative if some have not.
func (n *network) timeUntilAllKnow(since time.Time, deadMembers map[int]bool) time.Duration {
	first := map[[2]int]time.Time{}
	for _, c := range n.changes {
		for i := range deadMembers {
			if c.Dead && c.Address == addressOf(i) {
				if _, ok := first[[2]int{c.by, i}]; !ok {
					first[[2]int{c.by, i}] = c.at
				}
			}
		}
	}
	latest := time.Duration(0)
	for _, m := range n.members {
		for i := range deadMembers {
			if m.dead {
				continue
			}
			at, ok := first[[2]int{m.index, i}]
			if !ok {
				return -1
			}
			latest = max(latest, at.Sub(since))
		}
	}
	return latest
}

// falseDeclarations counts death declarations of live members, and how many members recorded them.
func (n *network) falseDeclarations(deadMembers map[int]bool) (declarations, recorded int) {
	for _, c := range n.changes {
		for i := range n.members {
			if c.Dead && !deadMembers[i] && c.Address == addressOf(i) {
				recorded++
				if !c.ByRumor {
					declarations++
				}
			}
		}
	}
	return declarations, recorded
}

// Guards against a detection time that grows with the group: members receive from each other more rarely, and callers
// are sent to gateways that have been dead for seconds.
func TestDetectionTimeDoesNotDependOnGroupSize(t *testing.T) {
	for size, seeds := range map[int]int{7: 3, 41: 3, 149: 2, 360: 1} {
		for seed := range uint64(seeds) {
			n := newNetwork(seed, size, 0.03)
			n.RunFor(2 * time.Second)
			n.members[3].dead = true
			since, before := n.Now(), n.bytes
			n.RunFor(3 * time.Second)
			deadMembers := map[int]bool{3: true}
			took := n.timeUntilAllKnow(since, deadMembers)
			declarations, recorded := n.falseDeclarations(deadMembers)
			t.Logf("%3d members, seed %d: all know after %v; %d false death declarations, recorded %d times; %d B/s a member, digests among them",
				size, seed, took, declarations, recorded, (n.bytes-before)/3/size)
			if took < 0 || took > addressTTL+250*time.Millisecond {
				t.Errorf("%d members, seed %d: all know after %v", size, seed, took)
			}
			if declarations > 1 {
				t.Errorf("%d members, seed %d: %d false death declarations in 5 s", size, seed, declarations)
			}
		}
	}
}

// Guards against slow detection when half of all gateways are killed at the same time, so that relays are dead as well.
func TestHalfOfMembersDieAtTheSameTime(t *testing.T) {
	n := newNetwork(1, 149, 0)
	n.RunFor(2 * time.Second)
	deadMembers := map[int]bool{}
	for i := range 82 {
		n.members[i].dead, deadMembers[i] = true, true
	}
	since := n.Now()
	n.RunFor(4 * time.Second)
	took := n.timeUntilAllKnow(since, deadMembers)
	declarations, _ := n.falseDeclarations(deadMembers)
	t.Logf("all know of 82 deaths after %v", took)
	if took < 0 || took > 2*addressTTL || declarations > 0 {
		t.Errorf("all know after %v, %d false death declarations", took, declarations)
	}
}

// Guards against a gateway that declares all others dead, and gossips it, because its own link is broken in one
// direction.
func TestPartitionedMemberDeclaresNoOtherDead(t *testing.T) {
	for _, c := range []struct {
		name                   string
		dropSent, dropReceived bool
	}{{"sends nothing", true, false}, {"receives nothing", false, true}, {"both", true, true}} {
		n := newNetwork(4, 41, 0)
		n.RunFor(2 * time.Second)
		n.members[5].dropSent, n.members[5].dropReceived = c.dropSent, c.dropReceived
		n.RunFor(4 * time.Second)
		for _, s := range n.changes {
			if s.Dead && s.Address != addressOf(5) {
				t.Errorf("%s: member %d declares %s dead", c.name, s.by, s.Address)
			}
		}
	}
}

// Guards against a gossip storm. Some members are reachable from only a share of the others. Those that reach them refute
// each death declaration of the rest, and if all members gossiped each change immediately, hosts would receive more
// datagrams than they can process.
func TestPartlyReachableMembersCauseNoStorm(t *testing.T) {
	const size, partlyReachable, reachers = 149, 45, 30
	n := newNetwork(6, size, 0)
	n.RunFor(2 * time.Second)
	before := n.sent
	n.RunFor(4 * time.Second)
	baseline := n.sent - before
	n.blocked = func(from, to int) bool {
		return (from < partlyReachable && to >= reachers) || (to < partlyReachable && from >= reachers)
	}
	n.RunFor(2 * time.Second)
	before = n.sent
	n.RunFor(4 * time.Second)
	partitioned := n.sent - before
	t.Logf("%d datagrams in 4 s with a full network, %d while %d members are reachable from %d", baseline, partitioned, partlyReachable, reachers)
	if partitioned > 2*baseline {
		t.Errorf("%d datagrams in 4 s, %d with a full network", partitioned, baseline)
	}
}

// Guards against a probe storm: a member that reaches no other member, or only two of them, can declare no member dead
// and probes all of them over and over.
func TestIsolatedMemberCausesNoStorm(t *testing.T) {
	const size, isolated = 149, 7
	for _, reachable := range []int{0, 2} {
		n := newNetwork(6, size, 0)
		n.RunFor(2 * time.Second)
		connected := func(a, b int) bool { return a != isolated || b < reachable }
		n.blocked = func(from, to int) bool { return !connected(from, to) || !connected(to, from) }
		n.RunFor(2 * time.Second)
		before := n.members[isolated].sequence
		n.RunFor(4 * time.Second)
		own, digests := n.members[isolated].sequence-before, 4*uint64(time.Second/digestInterval)*digestFanout
		t.Logf("%d datagrams in 4 s while it reaches %d others, %d of them digests", own, reachable, digests)
		if own > 2*digests {
			t.Errorf("%d datagrams in 4 s while it reaches %d others, %d of them digests", own, reachable, digests)
		}
	}
}

// Guards against a death declaration because of a broken link between two members, although all others reach the
// member.
func TestBrokenLinkBetweenTwoMakesNeitherDead(t *testing.T) {
	d, now := newDetectorWithFour()
	d.Tick(now)
	now = now.Add(time.Second)
	probes := d.Tick(now)
	if len(probes) != 1 {
		t.Fatalf("%d probes in the first round", len(probes))
	}
	target := probes[0].To
	now = now.Add(200 * time.Millisecond)
	indirect := d.Tick(now)
	for _, p := range indirect {
		if p.Target == target {
			d.ReceiveAlive(now, liveness.AliveMessage{Address: p.To, Incarnation: "a", Sequence: 2, IsProbeReply: true})
		}
	}
	now = now.Add(100 * time.Millisecond)
	known := d.RumorOf(target)
	d.MergeRumors(now, []liveness.Rumor{{IncarnationHash: known.IncarnationHash, Sequence: known.Sequence + 1}})
	d.Tick(now.Add(time.Second))
	if d.Dead(target) {
		t.Error("a member that replies to others is dead")
	}
}

func TestRumorWithHigherSequenceWins(t *testing.T) {
	const a = liveness.Address("10.1.0.1:1")
	for _, c := range []struct {
		name   string
		rumors []liveness.Rumor
		dead   bool
	}{
		{"dead at the recorded sequence", []liveness.Rumor{{Sequence: 1, Dead: true}}, true},
		{"dead at an earlier sequence", []liveness.Rumor{{Sequence: 0, Dead: true}}, false},
		{"alive at a later sequence", []liveness.Rumor{{Sequence: 1, Dead: true}, {Sequence: 2}}, false},
		{"alive at the same sequence as dead", []liveness.Rumor{{Sequence: 1, Dead: true}, {Sequence: 1}}, true},
		{"of another incarnation", []liveness.Rumor{{IncarnationHash: 7, Sequence: 9, Dead: true}}, false},
	} {
		d, now := newDetectorWithFour()
		for i := range c.rumors {
			if c.rumors[i].IncarnationHash == 0 {
				c.rumors[i].IncarnationHash = d.RumorOf(a).IncarnationHash
			}
		}
		d.MergeRumors(now, c.rumors)
		if d.Dead(a) != c.dead {
			t.Errorf("%s: dead is %v", c.name, d.Dead(a))
		}
	}
}

func TestNewIncarnationIsNotDead(t *testing.T) {
	const a = liveness.Address("10.1.0.1:1")
	d, now := newDetectorWithFour()
	d.MergeRumors(now, []liveness.Rumor{{IncarnationHash: d.RumorOf(a).IncarnationHash, Sequence: 5, Dead: true}})
	d.ReceiveAlive(now, liveness.AliveMessage{Address: a, Incarnation: "b", Sequence: 1})
	if d.Dead(a) {
		t.Error("the new incarnation is dead because of a rumor about the old one")
	}
}

// newDetectorWithFour returns a detector that has received an alive message from four members.
func newDetectorWithFour() (*liveness.Detector, time.Time) {
	now := time.Unix(1000, 0)
	d := liveness.New(rand.New(rand.NewPCG(1, 1)))
	for _, a := range []liveness.Address{"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1", "10.1.0.4:1"} {
		d.ReceiveAlive(now, liveness.AliveMessage{Address: a, Incarnation: ids.Incarnation("a"), Sequence: 1})
	}
	return d, now
}
