package gateway

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// shiftedGroup is a group whose demand shifts.
type shiftedGroup struct {
	ranks, experts, sets, placements int
	copyTime                         time.Duration
	// expertShare is the share of a pass that the experts' work takes. exponent is the exponent of the Zipf distribution
	// of the experts' popularity.
	expertShare, exponent float64
}

var (
	smallGroup = shiftedGroup{ranks: 16, experts: 64, sets: 4, placements: 5, copyTime: 39 * time.Millisecond, expertShare: 0.28, exponent: 0.7}
	largeGroup = shiftedGroup{ranks: 72, experts: 144, sets: 12, placements: 3, copyTime: 16 * time.Millisecond, expertShare: 0.56, exponent: 0.53}
)

const (
	// shiftPass is the length of a normal pass, shiftCounts scales the demand for the experts of one set in it.
	shiftPass, shiftCounts = 70 * time.Millisecond, 8000
	// shiftInterval is the time between two shifts, shiftSwitch the duration of a map switch.
	shiftInterval, shiftSwitch = 4 * time.Second, 130 * time.Millisecond
)

// skewedDemand generates a demand in which a few experts of each set have the largest share.
func (g shiftedGroup) skewedDemand(rng *rand.Rand) [][]float64 {
	out := make([][]float64, g.sets)
	for s := range out {
		out[s] = make([]float64, g.experts)
		for i, e := range rng.Perm(g.experts) {
			out[s][e] = shiftCounts / math.Pow(float64(i+1), g.exponent) / 10
		}
	}
	return out
}

// firstMap places the experts round-robin.
func (g shiftedGroup) firstMap() lockstep.Placement {
	p := make(lockstep.Placement, g.sets)
	for s := range p {
		p[s] = make([][]int, g.ranks)
		for e := range g.experts {
			p[s][e%g.ranks] = append(p[s][e%g.ranks], e)
		}
	}
	return p
}

// simulate runs a leader that polls the counts once per period against shifts of the demand, and returns the mean skew
// over all passes and the number of copies.
func (g shiftedGroup) simulate(seed uint64, period, halfLife time.Duration, o lockstep.Options) (skew float64, copies int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	x := &catalog.Experts{Sets: g.sets, PerSet: g.experts, MaxPerRank: g.placements, Spare: 2, CopyTime: g.copyTime}
	speed := make([]float64, g.ranks)
	counts := make(lockstep.Counts, g.sets)
	for s := range counts {
		counts[s] = make([]float64, g.experts)
	}
	for r := range speed {
		speed[r] = 1
	}
	d := lockstep.NewDemand(halfLife)
	placement, next := g.firstMap(), lockstep.Placement(nil)
	at := func(t time.Duration) time.Time { return time.Unix(0, 0).Add(t) }
	var demand [][]float64
	var nextAt, pollAt, shiftAt time.Duration
	sum, passes := 0.0, 0
	for now := time.Duration(0); now < 40*time.Second; now += shiftPass {
		if now >= shiftAt {
			demand, shiftAt = g.skewedDemand(rng), shiftAt+shiftInterval
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
		if now < pollAt || next != nil {
			continue
		}
		pollAt = now + period
		d.Observe(at(now), 0, lockstep.CountStart{Epoch: 1}, clone(counts))
		if plan, _ := lockstep.Decide(o, placement, d, speed, x, g.expertShare); plan != nil {
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

// Guards against a map that follows a shift of demand too slowly, as with polling every 500 ms and a half-life of 500 ms.
// The demand shifts to other experts every four seconds. Until the map follows, within some passes, the most loaded rank
// has twice the mean load or more, and each pass is so long that every stream of the group is late.
func TestPlacementFollowsDemandShiftWithinSomePasses(t *testing.T) {
	var before, after float64
	var copiesBefore, copiesAfter int
	for seed := range uint64(10) {
		a, n := smallGroup.simulate(seed, 500*time.Millisecond, 500*time.Millisecond, lockstep.DefaultOptions())
		b, m := smallGroup.simulate(seed, pollInterval, demandHalfLife, lockstep.DefaultOptions())
		before, after, copiesBefore, copiesAfter = before+a/10, after+b/10, copiesBefore+n, copiesAfter+m
	}
	t.Logf("mean skew %.3f, was %.3f; copies %d, were %d", after, before, copiesAfter, copiesBefore)
	if after >= before {
		t.Fatalf("mean skew %.3f, polling every 500 ms %.3f", after, before)
	}
}

// Guards against a copy price that does not depend on the experts' share of a pass. Where that share is large, cheap
// copies would not be made: the map would lag behind the demand and every pass would be long.
func TestCopyPriceScalesWithExpertShareOfPass(t *testing.T) {
	// onePrice is what a second of copying must save, whatever the experts' share.
	const onePrice = 6.1
	before := lockstep.DefaultOptions()
	before.CopyPrice = onePrice * largeGroup.expertShare
	fixed, copiesFixed := largeGroup.simulate(0, pollInterval, demandHalfLife, before)
	scaled, copiesScaled := largeGroup.simulate(0, pollInterval, demandHalfLife, lockstep.DefaultOptions())
	t.Logf("mean skew %.3f, was %.3f; copies %d, were %d", scaled, fixed, copiesScaled, copiesFixed)
	// Skew above 1 makes passes longer. Two estimates of the same demand differ by less than a tenth of that.
	if scaled-1 > 0.9*(fixed-1) {
		t.Fatalf("mean skew %.3f, with one price %.3f", scaled, fixed)
	}
}
