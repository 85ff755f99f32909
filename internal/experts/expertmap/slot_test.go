package expertmap

import (
	"errors"
	"testing"
)

func TestSwitchWithoutFaults(t *testing.T) {
	for _, ranks := range []int{1, 3, 16} {
		g := newGroup(t, ranks)
		g.switchToFirstMap()
		g.addProposer("a")
		for v := uint64(2); v < 5; v++ {
			to := MapID{v, "next"}
			g.propose("a", 2, to)
			g.runSteps(40)
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

// Guards against a group that stops because one rank cannot load the new map's weights. The proposer must abort the
// switch before any rank caps, and the group continues under its old map.
func TestLoadFailureEndsSwitchBeforeAnyCap(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	g.engines[1].CannotLoad = true
	g.addProposer("a")
	g.propose("a", 2, MapID{2, "next"})
	g.runSteps(20)
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

// Guards against a step that runs under two maps. Map 2 starts at step 55, a second proposer caps step 6 for map 3,
// and the engines, which remember one map before their newest, would run steps 3 to 5 under map 2. Found by
// TestRandomFaultsOfThreeRanks with seed 23467980.
func TestSlotRefusesCapBeforeItsMapIsInForce(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	for _, e := range g.engines {
		e.previous, e.Map, e.Start = e.Map, MapID{2, "ahead"}, e.Next+50
	}
	for r := range g.ranks {
		g.start(r)
	}
	g.runSteps(5)
	next := MapID{3, "next"}
	incarnations := []Incarnation{g.slots[0].inc, g.slots[1].inc, g.slots[2].inc}
	for r, s := range g.slots {
		g.slotEffects(r, s.Receive(g.now, Addr{Proposer: "a"}, StageRequest{Ballot: Ballot{2, 1, 0}, Map: next}))
		effects := s.Receive(g.now, Addr{Proposer: "a"}, CapRequest{Proposal{
			Ballot{2, 1, 1}, MapID{2, "ahead"}, next, g.engines[r].Next + 3, incarnations,
		}})
		refusal, ok := effects[0].(Send).Message.(Refusal)
		if !ok || refusal.Reason != ReasonAhead || s.State() == StateLimiting {
			t.Fatalf("rank %d: %+v in state %s", r, effects, s.State())
		}
	}
	g.runSteps(60)
}

// capAllRanks brings a group that has its first map to the point where every rank has capped map 2, and returns the
// proposal.
func capAllRanks(t *testing.T, g *group) Proposal {
	t.Helper()
	p := Proposal{Ballot: Ballot{2, 7, 1}, From: MapID{1, "first"}, To: MapID{2, "next"}, Start: g.engines[0].Next + 2}
	for _, s := range g.slots {
		p.Incarnations = append(p.Incarnations, s.Incarnation())
	}
	from := Addr{Proposer: "a"}
	for r, s := range g.slots {
		g.report(r)
		for _, m := range []Message{StageRequest{Ballot: p.Ballot, Map: p.To}, CapRequest{p}} {
			g.slotEffects(r, s.Receive(g.now, from, m))
			for len(g.orders[r]) > 0 {
				g.executeOrder(r)
			}
		}
		if s.State() != StateCapped {
			t.Fatalf("rank %d is %s", r, s.State())
		}
	}
	g.net = nil
	return p
}

// Guards against a rank that continues alone under the old map. Rank 0 has the certificate and its engine has
// switched, but the slot has no report of it yet when the restarted slot of rank 1 sends Recover. A reply "not
// switched" would let rank 1 abort, so rank 0 must not reply before its engine reports.
func TestSwitchingSlotDoesNotReplyToRecover(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	p := capAllRanks(t, g)
	g.slotEffects(0, g.slots[0].Receive(g.now, Addr{Proposer: "a"}, Certificate{p.Ballot, p.Incarnations}))
	g.engines[0].Apply(g.orders[0][0])
	g.orders[0] = nil
	g.start(1)
	request := Recover{1, g.slots[1].Incarnation()}
	if got := g.slots[0].Receive(g.now, Addr{Rank: 1}, request); got != nil {
		t.Fatalf("replied %+v", got)
	}
	g.report(0)
	g.runSteps(5)
	if g.engines[1].Map != p.To || g.engines[2].Map != p.To {
		t.Fatalf("the switch was lost: %s", g.describe())
	}
}

// Guards against a rank that passes the first step of the new map without its limit. The engine restarts without
// state while its slot keeps running, and the slot's acknowledgement still counts. The slot must start a new
// incarnation, and the proposal is aborted.
func TestEngineRestartVoidsAcknowledgement(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	p := capAllRanks(t, g)
	before := g.slots[2].Incarnation()
	restarted := newEngine(g.engines[2].Next)
	restarted.Order = g.engines[2].Order
	g.engines[2] = restarted
	g.report(2)
	if s := g.slots[2]; s.Incarnation() <= before || s.State() != StateRecovering {
		t.Fatalf("incarnation %d after %d, state %s", s.Incarnation(), before, s.State())
	}
	g.runSteps(5)
	for r, e := range g.engines {
		if e.Map != p.From {
			t.Fatalf("rank %d runs map %s", r, e.Map)
		}
	}
}

// Guards against a group that waits forever. A slot restarts on a host whose clock was set back, so its incarnation
// is smaller than the last one and peers mistake its Recover for a late copy. They reply Superseded, and it must choose
// a larger number.
func TestSlotRestartWithClockBehind(t *testing.T) {
	g := newGroup(t, 3)
	g.switchToFirstMap()
	p := capAllRanks(t, g)
	known := g.slots[1].Incarnation()
	g.lastIncarnation = 0
	g.start(1)
	if g.slots[1].Incarnation() >= known {
		t.Fatal("the new incarnation is not smaller")
	}
	g.runSteps(5)
	if got := g.slots[1].Incarnation(); got <= known {
		t.Fatalf("incarnation %d after %d", got, known)
	}
	if g.engines[0].Map != p.From {
		t.Fatalf("map %s", g.engines[0].Map)
	}
}
