package expertmap

import (
	"errors"
	"testing"
)

func TestSwitchWithoutFaults(t *testing.T) {
	for _, ranks := range []int{1, 3, 16} {
		g := newGroup(t, ranks)
		g.boot()
		g.addProposer("a")
		for v := uint64(2); v < 5; v++ {
			to := MapID{v, "next"}
			g.propose("a", 2, to)
			g.settle(40)
			if len(g.results) != 1 || g.results[0].Err != nil || g.results[0].To != to {
				t.Fatalf("%d ranks: %+v %s", ranks, g.results, g.describe())
			}
			for _, e := range g.engines {
				if e.Map != to || e.Start != g.results[0].Start {
					t.Fatalf("%d ranks: an engine runs %s from %d", ranks, e.Map, e.Start)
				}
			}
			g.results = nil
		}
	}
}

// Callers see nothing: the group goes on under its old map. One rank cannot load the new map's weights, so the
// proposer gives the map up before anything was capped.
func TestWeightsThatCannotBeLoadedEndTheSwitchBeforeItBegins(t *testing.T) {
	g := newGroup(t, 3)
	g.boot()
	g.engines[1].broken = true
	g.addProposer("a")
	g.propose("a", 2, MapID{2, "next"})
	g.settle(20)
	var failed *FailedError
	if len(g.results) != 1 || !errors.As(g.results[0].Err, &failed) || failed.Reason != ReasonWeights || failed.Rank != 1 {
		t.Fatalf("%+v", g.results)
	}
	for _, s := range g.slots {
		if s.State() == StateCapped || s.State() == StateLimiting {
			t.Fatalf("rank %d is %s", s.cfg.Rank, s.State())
		}
	}
}

// Without the rule a step runs under two maps: map 2 is to start at step 55, a second proposer caps step 6 for map 3,
// and the engines, which remember one map before their newest, run steps 3 to 5 under map 2. Found by
// TestRandomFaultsOfThreeRanks with seed 23467980.
func TestASlotCapsNothingWhileItsLastSwitchLiesAhead(t *testing.T) {
	g := newGroup(t, 3)
	g.boot()
	for _, e := range g.engines {
		e.prev, e.Map, e.Start = e.Map, MapID{2, "ahead"}, e.Next+50
	}
	for r := range g.ranks {
		g.start(r)
	}
	g.settle(5)
	next := MapID{3, "next"}
	roster := []Incarnation{g.slots[0].inc, g.slots[1].inc, g.slots[2].inc}
	for r, s := range g.slots {
		g.slotEffects(r, s.Receive(g.now, Addr{Proposer: "a"}, StageRequest{Ballot: Ballot{2, 1, 0}, Map: next}))
		effects := s.Receive(g.now, Addr{Proposer: "a"}, CapRequest{Proposal{
			Ballot{2, 1, 1}, MapID{2, "ahead"}, next, g.engines[r].Next + 3, roster,
		}})
		refusal, ok := effects[0].(Send).Message.(Refusal)
		if !ok || refusal.Reason != ReasonAhead || s.State() == StateLimiting {
			t.Fatalf("rank %d: %+v in state %s", r, effects, s.State())
		}
	}
	g.settle(60)
}
