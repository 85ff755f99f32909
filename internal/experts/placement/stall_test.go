package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
)

// Guards against callers' streams that stop for good. A rank hangs in the middle of a step and stops reporting; in
// lockstep the other ranks wait at the barrier forever and report that they wait. After StallAfter the hung rank's
// experts must move to other ranks.
func TestStalledRankIsEvacuated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pop := zipf(smallGroup.Shape, rapid.IntRange(0, 7).Draw(t, "hot"))
		m := packMap(t, smallGroup, pop)
		p := placement.NewPolicy(smallGroup)
		hung := rapid.IntRange(0, 3).Draw(t, "hung")
		windowsBefore := rapid.IntRange(0, 20).Draw(t, "windows before")
		observeWindows(t, p, smallGroup, pop, ones(4), 0, windowsBefore)
		now := stallGroup(t, p, windowsBefore, map[int]bool{hung: true}, placement.StallAfter)
		d := p.Decide(now, eagerOptions, m)
		if d.Plan == nil || d.Plan.Cause != placement.CauseStall || len(d.Stalled) != 1 || d.Stalled[0] != hung {
			t.Fatalf("got %+v", d)
		}
		checkPlan(t, smallGroup, eagerOptions, m, d)

		// The other ranks step on without it. It must not get experts back while it does not report.
		m = d.Plan.Map
		for w := windowsBefore + 10; w < windowsBefore+40; w++ {
			observeWindows(t, p, smallGroup, zipf(smallGroup.Shape, 3), ones(4), w, w+1, hung)
			if d := p.Decide(windowTime(w), eagerOptions, m); d.Plan != nil {
				m = d.Plan.Map
			}
			if m.Used()[hung] > 0 {
				t.Fatalf("window %d: the dead rank holds experts again", w)
			}
		}
	})
}

// stallGroup completes one more step of the group, then has all ranks that are not silent report that they wait. It
// returns the time after the given span.
func stallGroup(t interface{ Fatal(...any) }, p *placement.Policy, w int, silent map[int]bool, span time.Duration) time.Time {
	now := windowTime(w)
	for ; now.Before(windowTime(w).Add(span)); now = now.Add(placement.StallAfter / 3) {
		for r := range smallGroup.Shape.Ranks {
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

// Guards against the evacuation of ranks that do not report for a reason other than a stall.
func TestUnprovenStallsDoNotEvacuate(t *testing.T) {
	pop := zipf(smallGroup.Shape, 0)
	m := packMap(t, smallGroup, pop)
	tests := map[string]func(p *placement.Policy) time.Time{
		"the group has not been stalled for long": func(p *placement.Policy) time.Time {
			return stallGroup(t, p, 20, map[int]bool{1: true}, placement.StallAfter/3)
		},
		// The policy's node is partitioned from half of the ranks, which may be healthy.
		"half of the ranks are silent": func(p *placement.Policy) time.Time {
			return stallGroup(t, p, 20, map[int]bool{1: true, 2: true}, placement.StallAfter)
		},
		// The reports of one rank are lost, but the others could not step without it.
		"the others step on": func(p *placement.Policy) time.Time {
			observeWindows(t, p, smallGroup, pop, ones(4), 20, 25, 1)
			return windowTime(25)
		},
	}
	for name, scenario := range tests {
		t.Run(name, func(t *testing.T) {
			p := placement.NewPolicy(smallGroup)
			observeWindows(t, p, smallGroup, pop, ones(4), 0, 20)
			if d := p.Decide(scenario(p), eagerOptions, m); len(d.Stalled) != 0 || d.Plan != nil {
				t.Fatalf("got %+v", d)
			}
		})
	}
}

func TestEvacuationWithoutCapacityReportsReason(t *testing.T) {
	g := smallGroup
	g.Slots = 4
	pop := zipf(smallGroup.Shape, 0)
	m, err := placement.Pack(g, 4, pop, ones(4), 1)
	if err != nil {
		t.Fatal(err)
	}
	p := placement.NewPolicy(g)
	now := stallGroup(t, p, 1, map[int]bool{0: true}, placement.StallAfter)
	if d := p.Decide(now, eagerOptions, m); d.Stay != placement.ReasonNoCapacity {
		t.Fatalf("got %+v", d)
	}
}
