package coldstart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/coldstart"
)

var timing = coldstart.TimingFor(200 * time.Millisecond)

var bound = coldstart.Bound{PerSecond: 17, Overshoot: 1.5, Slack: 5}

// view returns what the first of four gateways may do at the end, if the others are heard each 100 ms until the given times.
func view(end time.Duration, heardUntil ...time.Duration) coldstart.View {
	r := coldstart.NewRoster("g0", nil, at(0))
	for now := time.Duration(0); now <= end; now += 50 * time.Millisecond {
		for i, until := range heardUntil {
			if now <= until {
				r.Heard(fmt.Sprintf("g%d", i+1), at(now))
			}
		}
		r.Tick(at(now), timing)
	}
	return r.View(at(end), timing)
}

// Guards against a gateway that is cut off and goes on after the others have taken over its part.
func TestGatewayThatIsCutOffStopsBeforeOthersTakeOver(t *testing.T) {
	cut := 5 * time.Second
	for now := cut; now < cut+3*time.Second; now += 50 * time.Millisecond {
		alone, other := view(now, cut, cut, cut), view(now, cut, now, now)
		if other.Members.Len() == 3 && alone.Majority {
			t.Fatalf("%s after the cut the other side has taken over", now-cut)
		}
	}
	if v := view(cut+3*time.Second, cut, cut, cut); v.Part(1, bound).PerSecond > 0 {
		t.Fatalf("sends %+v alone", v.Part(1, bound))
	}
	if v := view(cut+3*time.Second, cut, cut+3*time.Second, cut+3*time.Second); v.Members.Len() != 3 || !v.Majority {
		t.Fatalf("the dead owner's part is not taken over: %+v", v)
	}
}

// Guards against a gateway that was frozen, or has started, and sends before the others know of it.
func TestStartedOrFrozenGatewayWaits(t *testing.T) {
	r := coldstart.NewRoster("g0", nil, at(0))
	if v := r.View(at(0), timing); !v.BlockedUntil.Equal(at(timing.Join)) {
		t.Fatalf("blocked until %s after its start", v.BlockedUntil)
	}
	r.Tick(at(50*time.Millisecond), timing)
	r.Tick(at(5*time.Second), timing)
	if v := r.View(at(5*time.Second), timing); !v.BlockedUntil.Equal(at(5*time.Second + timing.Join)) {
		t.Fatalf("blocked until %s after a freeze", v.BlockedUntil)
	}
}

// Guards against both halves of a network that go on, or none of two gateways after one has died.
func TestOneOfTwoHalvesGoesOn(t *testing.T) {
	first, second := coldstart.NewRoster("g0", []string{"g1"}, at(0)), coldstart.NewRoster("g1", []string{"g0"}, at(0))
	if first.View(at(0), timing).Majority == second.View(at(0), timing).Majority {
		t.Fatal("want exactly one of two gateways that do not hear each other")
	}
}

// Guards against owners in one view that together exceed half of the bound, or use too little of the rate.
func TestPartsAddUp(t *testing.T) {
	for members := 1; members <= 400; members++ {
		p := bound.Divide(members)
		if all := p.Owners * p.MostEach(); p.Owners > members || 2*all > bound.Most() {
			t.Fatalf("%d members: %+v, %d in a second", members, p, all)
		}
		if use := float64(p.Owners) * p.PerSecond; use < 0.8*bound.PerSecond {
			t.Fatalf("%d members: %+v, %g a second", members, p, use)
		}
	}
	if p := (coldstart.Bound{PerSecond: 0.5, Overshoot: 1}).Divide(9); p.Owners != 0 {
		t.Fatalf("%+v under a bound of 0 requests", p)
	}
}
