package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
)

// A rank hangs in the middle of a step. Callers see their streams stop: in lock-step the other ranks wait at the barrier
// for good. They report that they wait; the hung rank reports nothing. After StallAfter its experts move elsewhere.
func TestStalledRankIsDrained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pop := zipf(small.Shape, rapid.IntRange(0, 7).Draw(t, "hot"))
		m := packed(t, small, pop)
		p := placement.NewPolicy(small)
		hung := rapid.IntRange(0, 3).Draw(t, "hung")
		known := rapid.IntRange(0, 20).Draw(t, "windows before")
		feed(t, p, small, pop, ones(4), 0, known)
		now := standStill(t, p, known, map[int]bool{hung: true}, placement.StallAfter)
		d := p.Decide(now, eager, m)
		if d.Plan == nil || d.Plan.Cause != placement.CauseStall || len(d.Stalled) != 1 || d.Stalled[0] != hung {
			t.Fatalf("got %+v", d)
		}
		checkPlan(t, small, eager, m, d)

		// The others step on without it. It must not get experts back while it is silent.
		m = d.Plan.Map
		for w := known + 10; w < known+40; w++ {
			feed(t, p, small, zipf(small.Shape, 3), ones(4), w, w+1, hung)
			if d := p.Decide(at(w), eager, m); d.Plan != nil {
				m = d.Plan.Map
			}
			if m.Used()[hung] > 0 {
				t.Fatalf("window %d: the dead rank holds experts again", w)
			}
		}
	})
}

// standStill lets the group complete one more step and then all ranks that are not silent report that they wait, and returns the time after the given span.
func standStill(t interface{ Fatal(...any) }, p *placement.Policy, w int, silent map[int]bool, span time.Duration) time.Time {
	now := at(w)
	for ; now.Before(at(w).Add(span)); now = now.Add(placement.StallAfter / 3) {
		for r := range small.Shape.Ranks {
			if silent[r] {
				continue
			}
			if err := p.Observe(now, placement.Report{Rank: r, Window: uint64(w), Step: uint64(w + 1), Waiting: true}); err != nil {
				t.Fatal(err)
			}
		}
	}
	return now
}

func TestOnlyProvenStallsDrain(t *testing.T) {
	pop := zipf(small.Shape, 0)
	m := packed(t, small, pop)
	tests := map[string]func(p *placement.Policy) time.Time{
		"the group has not stood still for long": func(p *placement.Policy) time.Time {
			return standStill(t, p, 20, map[int]bool{1: true}, placement.StallAfter/3)
		},
		// The decider is cut off from most ranks: they may be well.
		"half of the ranks are silent": func(p *placement.Policy) time.Time {
			return standStill(t, p, 20, map[int]bool{1: true, 2: true}, placement.StallAfter)
		},
		// Its reports are lost, but the others could not step without it.
		"the others step on": func(p *placement.Policy) time.Time {
			feed(t, p, small, pop, ones(4), 20, 25, 1)
			return at(25)
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			p := placement.NewPolicy(small)
			feed(t, p, small, pop, ones(4), 0, 20)
			if d := p.Decide(happens(p), eager, m); len(d.Stalled) != 0 || d.Plan != nil {
				t.Fatalf("got %+v", d)
			}
		})
	}
}

func TestDrainWithoutRoomSaysSo(t *testing.T) {
	g := small
	g.Slots = 4
	pop := zipf(small.Shape, 0)
	m, err := placement.Pack(g, 4, pop, ones(4), 1)
	if err != nil {
		t.Fatal(err)
	}
	p := placement.NewPolicy(g)
	now := standStill(t, p, 1, map[int]bool{0: true}, placement.StallAfter)
	if d := p.Decide(now, eager, m); d.Stay != placement.ReasonNoRoom {
		t.Fatalf("got %+v", d)
	}
}
