package liveness_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/liveness"
)

// addressKept is for how long callers keep an address: an ended gateway should not be named for longer than that.
const addressKept = time.Second

// known returns after how long all that live have known that the given ones have ended; negative if not all do.
func (n *network) known(since time.Time, ended map[int]bool) time.Duration {
	first := map[[2]int]time.Time{}
	for _, c := range n.changes {
		for i := range ended {
			if c.Dead && c.Address == addressOf(i) {
				if _, ok := first[[2]int{c.by, i}]; !ok {
					first[[2]int{c.by, i}] = c.at
				}
			}
		}
	}
	latest := time.Duration(0)
	for _, m := range n.members {
		for i := range ended {
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

// falsely counts verdicts on members that live.
func (n *network) falsely(ended map[int]bool) (verdicts, believed int) {
	for _, c := range n.changes {
		for i := range n.members {
			if c.Dead && !ended[i] && c.Address == addressOf(i) {
				believed++
				if !c.ByRumor {
					verdicts++
				}
			}
		}
	}
	return verdicts, believed
}

// Failure: with more members each hears of each other more rarely, and callers are sent to gateways that have been dead for
// seconds.
func TestTheTimeToKnowOfADeathDoesNotDependOnTheSize(t *testing.T) {
	for size, seeds := range map[int]int{7: 3, 41: 3, 149: 2, 360: 1} {
		for seed := range uint64(seeds) {
			n := newNetwork(seed, size, 0.03)
			n.RunFor(2 * time.Second)
			n.members[3].dead = true
			since, before := n.Now(), n.bytes
			n.RunFor(3 * time.Second)
			ended := map[int]bool{3: true}
			took := n.known(since, ended)
			verdicts, believed := n.falsely(ended)
			t.Logf("%3d members, seed %d: all know after %v; %d false verdicts, believed %d times; %d B/s a member, digests among them",
				size, seed, took, verdicts, believed, (n.bytes-before)/3/size)
			if took < 0 || took > addressKept+250*time.Millisecond {
				t.Errorf("%d members, seed %d: all know after %v", size, seed, took)
			}
			if verdicts > 1 {
				t.Errorf("%d members, seed %d: %d false verdicts in 5 s", size, seed, verdicts)
			}
		}
	}
}

// Failure: half of all gateways are killed at once, and those asked for help are dead themselves.
func TestHalfOfAllMembersEndAtOnce(t *testing.T) {
	n := newNetwork(1, 149, 0)
	n.RunFor(2 * time.Second)
	ended := map[int]bool{}
	for i := range 82 {
		n.members[i].dead, ended[i] = true, true
	}
	since := n.Now()
	n.RunFor(4 * time.Second)
	took := n.known(since, ended)
	verdicts, _ := n.falsely(ended)
	t.Logf("all know of 82 deaths after %v", took)
	if took < 0 || took > 2*addressKept || verdicts > 0 {
		t.Errorf("all know after %v, %d false verdicts", took, verdicts)
	}
}

// Failure: a gateway whose link is broken one way takes all others for ended and tells them so.
func TestAMemberThatIsCutOffEndsNobodyElse(t *testing.T) {
	for _, c := range []struct {
		name      string
		cut, deaf bool
	}{{"sends nothing", true, false}, {"hears nothing", false, true}, {"both", true, true}} {
		n := newNetwork(4, 41, 0)
		n.RunFor(2 * time.Second)
		n.members[5].cut, n.members[5].deaf = c.cut, c.deaf
		n.RunFor(4 * time.Second)
		for _, s := range n.changes {
			if s.Dead && s.Address != addressOf(5) {
				t.Errorf("%s: member %d takes %s for ended", c.name, s.by, s.Address)
			}
		}
	}
}

// Failure: some members are reached by a part of the others only, which refute each verdict of the rest, and all tell each
// other of each change at once: more datagrams than hosts can take.
func TestMembersThatSomeReachMakeNoStorm(t *testing.T) {
	const size, odd, near = 149, 45, 30
	n := newNetwork(6, size, 0)
	n.RunFor(2 * time.Second)
	before := n.sent
	n.RunFor(4 * time.Second)
	calm := n.sent - before
	n.parted = func(from, to int) bool {
		return (from < odd && to >= near) || (to < odd && from >= near)
	}
	n.RunFor(2 * time.Second)
	before = n.sent
	n.RunFor(4 * time.Second)
	parted := n.sent - before
	t.Logf("%d datagrams in 4 s while all is well, %d while %d members are reached by %d", calm, parted, odd, near)
	if parted > 2*calm {
		t.Errorf("%d datagrams in 4 s, %d while all is well", parted, calm)
	}
}

// Failure: a member that reaches nobody, or two of all others, gets no verdict, and asks everybody again and again.
func TestAMemberThatReachesHardlyAnybodyMakesNoStorm(t *testing.T) {
	const size, lone = 149, 7
	for _, near := range []int{0, 2} {
		n := newNetwork(6, size, 0)
		n.RunFor(2 * time.Second)
		reached := func(a, b int) bool { return a != lone || b < near }
		n.parted = func(from, to int) bool { return !reached(from, to) || !reached(to, from) }
		n.RunFor(2 * time.Second)
		before := n.members[lone].sequence
		n.RunFor(4 * time.Second)
		own, usual := n.members[lone].sequence-before, 4*uint64(time.Second/digestInterval)*toldEach
		t.Logf("%d datagrams in 4 s while it reaches %d others, %d of them digests", own, near, usual)
		if own > 2*usual {
			t.Errorf("%d datagrams in 4 s while it reaches %d others, %d of them digests", own, near, usual)
		}
	}
}

// Failure: a link between two members is broken, and one of them takes the other for ended though all others reach it.
func TestABrokenLinkBetweenTwoEndsNeither(t *testing.T) {
	d, now := four()
	d.Tick(now)
	now = now.Add(time.Second)
	probes := d.Tick(now)
	if len(probes) != 1 {
		t.Fatalf("%d questions at once", len(probes))
	}
	quiet := probes[0].To
	now = now.Add(200 * time.Millisecond)
	helped := d.Tick(now)
	for _, p := range helped {
		if p.Target == quiet {
			d.ReceiveAlive(now, liveness.AliveMessage{Address: p.To, Incarnation: "a", Sequence: 2, IsProbeReply: true})
		}
	}
	now = now.Add(100 * time.Millisecond)
	known := d.RumorOf(quiet)
	d.MergeRumors(now, []liveness.Rumor{{IncarnationHash: known.IncarnationHash, Sequence: known.Sequence + 1}})
	d.Tick(now.Add(time.Second))
	if d.Dead(quiet) {
		t.Error("a member that answers others has ended")
	}
}

func TestOfTwoRumorsTheLaterSignHolds(t *testing.T) {
	const a = liveness.Address("10.1.0.1:1")
	for _, c := range []struct {
		name  string
		told  []liveness.Rumor
		ended bool
	}{
		{"ended at the sign that is known", []liveness.Rumor{{Sequence: 1, Dead: true}}, true},
		{"ended before it", []liveness.Rumor{{Sequence: 0, Dead: true}}, false},
		{"lives after it", []liveness.Rumor{{Sequence: 1, Dead: true}, {Sequence: 2}}, false},
		{"lived at it", []liveness.Rumor{{Sequence: 1, Dead: true}, {Sequence: 1}}, true},
		{"of another life", []liveness.Rumor{{IncarnationHash: 7, Sequence: 9, Dead: true}}, false},
	} {
		d, now := four()
		for i := range c.told {
			if c.told[i].IncarnationHash == 0 {
				c.told[i].IncarnationHash = d.RumorOf(a).IncarnationHash
			}
		}
		d.MergeRumors(now, c.told)
		if d.Dead(a) != c.ended {
			t.Errorf("%s: ended %v", c.name, d.Dead(a))
		}
	}
}

func TestANewLifeOfAMemberIsNotEnded(t *testing.T) {
	const a = liveness.Address("10.1.0.1:1")
	d, now := four()
	d.MergeRumors(now, []liveness.Rumor{{IncarnationHash: d.RumorOf(a).IncarnationHash, Sequence: 5, Dead: true}})
	d.ReceiveAlive(now, liveness.AliveMessage{Address: a, Incarnation: "b", Sequence: 1})
	if d.Dead(a) {
		t.Error("the new life is taken for the old one")
	}
}

// four is a detector that has heard four members.
func four() (*liveness.Detector, time.Time) {
	now := time.Unix(1000, 0)
	d := liveness.New(rand.New(rand.NewPCG(1, 1)))
	for _, a := range []liveness.Address{"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1", "10.1.0.4:1"} {
		d.ReceiveAlive(now, liveness.AliveMessage{Address: a, Incarnation: ids.Incarnation("a"), Sequence: 1})
	}
	return d, now
}
