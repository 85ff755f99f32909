package gateway

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

const (
	shiftRanks, shiftExperts, shiftSets = 16, 64, 4
	// shiftPass is a usual pass, and shiftCounts what is chosen in it of one set.
	shiftPass, shiftCounts = 70 * time.Millisecond, 8000
	// shiftEvery is the time between two shifts, shiftSwitch how long a switch takes.
	shiftEvery, shiftSwitch = 4 * time.Second, 130 * time.Millisecond
)

// skewedDemand draws a demand in which a few experts of each set have most.
func skewedDemand(rng *rand.Rand) [][]float64 {
	out := make([][]float64, shiftSets)
	for s := range out {
		out[s] = make([]float64, shiftExperts)
		for i, e := range rng.Perm(shiftExperts) {
			out[s][e] = shiftCounts / math.Pow(float64(i+1), 0.7) / 10
		}
	}
	return out
}

// firstMap deals the experts in turn.
func firstMap() lockstep.Placement {
	p := make(lockstep.Placement, shiftSets)
	for s := range p {
		p[s] = make([][]int, shiftRanks)
		for e := range shiftExperts {
			p[s][e%shiftRanks] = append(p[s][e%shiftRanks], e)
		}
	}
	return p
}

// follow plays shifts of the demand against a leader that looks at the counts each period, and returns the mean skew over
// all passes and the copies.
func follow(seed uint64, period, half time.Duration) (skew float64, copies int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	x := &catalog.Experts{Sets: shiftSets, PerSet: shiftExperts, Placements: 5, Spare: 2, Bytes: 0.88e9}
	speed := make([]float64, shiftRanks)
	counts := make(lockstep.Counts, shiftSets)
	for s := range counts {
		counts[s] = make([]float64, shiftExperts)
	}
	for r := range speed {
		speed[r] = 1
	}
	d := lockstep.NewDemand(half)
	placement, next := firstMap(), lockstep.Placement(nil)
	at := func(t time.Duration) time.Time { return time.Unix(0, 0).Add(t) }
	var demand [][]float64
	var nextAt, lookAt, shiftAt time.Duration
	sum, passes := 0.0, 0
	for now := time.Duration(0); now < 40*time.Second; now += shiftPass {
		if now >= shiftAt {
			demand, shiftAt = skewedDemand(rng), shiftAt+shiftEvery
		}
		if next != nil && now >= nextAt {
			placement, next = next, nil
		}
		for s := range counts {
			for e := range counts[s] {
				counts[s][e] += math.Floor(demand[s][e] * (0.9 + 0.2*rng.Float64()))
			}
		}
		sum, passes = sum+lockstep.Skew(placement, demand, speed), passes+1
		if now < lookAt || next != nil {
			continue
		}
		lookAt = now + period
		d.Observe(at(now), 0, lockstep.Since{Epoch: 1}, clone(counts))
		if plan, _ := lockstep.Decide(lockstep.DefaultOptions(), placement, d, speed, x); plan != nil {
			next, nextAt, copies = plan.Placement, now+shiftSwitch, copies+plan.Copies
		}
	}
	return sum / float64(passes), copies
}

func clone(c lockstep.Counts) lockstep.Counts {
	out := make(lockstep.Counts, len(c))
	for s := range c {
		out[s] = append([]float64(nil), c[s]...)
	}
	return out
}

// Other experts are in demand all of a sudden, every four seconds. Until the map follows, the most loaded rank has twice the
// mean or more, and each pass is so long that every stream of the group is late by its pauses. The leader must see the shift
// within some passes: it looked at the counts each 500 ms, with a half-life of as much.
func TestMapsFollowAShiftWithinSomePasses(t *testing.T) {
	var was, is float64
	var copiesWere, copiesAre int
	for seed := range uint64(10) {
		a, n := follow(seed, 500*time.Millisecond, 500*time.Millisecond)
		b, m := follow(seed, lookEvery, demandHalf)
		was, is, copiesWere, copiesAre = was+a/10, is+b/10, copiesWere+n, copiesAre+m
	}
	t.Logf("mean skew %.3f, was %.3f; copies %d, were %d", is, was, copiesAre, copiesWere)
	if is >= was {
		t.Fatalf("mean skew %.3f, with looks each 500 ms %.3f", is, was)
	}
}
