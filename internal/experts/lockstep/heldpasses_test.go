package lockstep

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against two switches of an epoch that hold the same pass: of one leader in an idle group, of one leader after another,
// or of a controller that remembers nothing of those before it.
func TestNoPassIsHeldTwiceInOneEpoch(t *testing.T) {
	chosen := 0
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		held := map[uint64]bool{}
		begun, read := uint64(0), uint64(0) // read is the last pass that had begun by the reports of the leader before
		var before, leader HeldPasses
		for range 300 {
			switch rng.IntN(4) {
			case 0:
				begun += rng.Uint64N(3)
			case 1: // all ranks load the next leader's map; the leader before may still choose by the reports that it has read
				before, read, leader = leader, begun, HeldPasses{}
				leader.Load(begun)
			case 2:
				chosen += choose(t, &leader, begun, rng, held)
			case 3:
				chosen += choose(t, &before, read, rng, held)
			}
		}
	}
	if chosen < 200*30 {
		t.Fatalf("%d passes were chosen", chosen)
	}
}

// choose has a leader choose a pass, if one is available, and returns how many it has chosen.
func choose(t *testing.T, p *HeldPasses, begun uint64, rng *rand.Rand, held map[uint64]bool) int {
	t.Helper()
	pass, ok := p.Choose(begun, begun+1+rng.Uint64N(4))
	switch {
	case !ok && p.Available(begun):
		t.Fatal("a pass was available and none was chosen")
	case !ok:
		return 0
	case pass <= begun || pass > begun+maxAhead:
		t.Fatalf("pass %d was chosen when pass %d had begun", pass, begun)
	case held[pass]:
		t.Fatalf("pass %d was chosen twice", pass)
	}
	held[pass] = true
	return 1
}

// Guards against a leader that never switches a group that goes on, because none of its passes is available.
func TestPassIsAvailableOnceGroupGoesOn(t *testing.T) {
	p := &HeldPasses{}
	if p.Available(7) {
		t.Error("a pass is available before the ranks have loaded the leader's first map")
	}
	p.Load(7)
	for begun := uint64(8); begun < 50; begun++ {
		if _, ok := p.Choose(begun, begun+2); !ok {
			t.Fatalf("no pass was available when pass %d had begun", begun)
		}
		if begun%5 == 0 { // the group is idle: its passes are used up
			for range maxAhead {
				p.Choose(begun, begun+2)
			}
		}
	}
}

// Guards against a pass that a leader names by a report from after all ranks have loaded the next leader's map, and that the next
// leader may name as well.
func TestStalledLeaderNamesNoPassAfterNextLeadersMap(t *testing.T) {
	now := time.Unix(0, 0)
	task := restartedTask(now)
	sw := NewSwitch(task)
	acknowledgeAll(t, sw, now, sw.Start(now), string(statePreparing))
	orders := sw.OnReports(now, preparedReports(2, 3))
	if len(orders) != 1 || orders[0].Op != OpHold {
		t.Fatalf("orders %v", orders)
	}
	named := task.Passes.last
	later := preparedReports(2, 3)
	for _, r := range later {
		r.Prepared, r.Pass = task.Fallback+1, 100
	}
	sw.OnReports(now, later)
	sw.OnReply(now, orders[0], ReplyRefused)
	if task.Passes.last != named {
		t.Fatalf("in state %s, pass %d was named after %d", sw.State(), task.Passes.last, named)
	}
}
