package gateway

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// hardLoadGroup is the group of the first deployment in docs/hard-load.md.
var hardLoadGroup = shiftedGroup{ranks: 63, experts: 252, sets: 8, placements: 5, copyTime: 16 * time.Millisecond, expertShare: 0.56, exponent: 0.53}

const (
	// slowAt is when ranks turn slow, slowFor for how long, slowFactor how much.
	slowAt, slowFor, slowFactor = 3 * time.Second, 9 * time.Second, 12
)

// slowdownResult is what became of a slowdown: the skew just after it began, its minimum while it lasted, and how long
// it took until the skew was within a tenth of that.
type slowdownResult struct {
	worst, best float64
	settled     time.Duration
	copies      int
}

// simulateSlowdown runs a leader that polls each pollInterval while some ranks turn slow.
func (g shiftedGroup) simulateSlowdown(seed uint64, slow int) slowdownResult {
	rng := rand.New(rand.NewPCG(seed, 5))
	x := &catalog.Experts{Sets: g.sets, PerSet: g.experts, MaxPerRank: g.placements, Spare: 2, CopyTime: g.copyTime}
	counts := make(lockstep.Counts, g.sets)
	for s := range counts {
		counts[s] = make([]float64, g.experts)
	}
	demand, d := g.skewedDemand(rng), lockstep.NewDemand(demandHalfLife)
	placement, next := g.firstMap(), lockstep.Placement(nil)
	ranks := rng.Perm(g.ranks)[:slow]
	r := slowdownResult{best: math.Inf(1)}
	var nextAt, pollAt time.Duration
	var skews []float64
	pollAt = time.Duration(rng.Int64N(int64(pollInterval)))
	for now := time.Duration(0); now < slowAt+slowFor; now += shiftPass {
		speed := make([]float64, g.ranks)
		for i := range speed {
			speed[i] = 1
		}
		if now >= slowAt {
			for _, i := range ranks {
				speed[i] = 1.0 / slowFactor
			}
		}
		if next != nil && now >= nextAt {
			placement, next = next, nil
		}
		for s := range counts {
			for e := range counts[s] {
				counts[s][e] += math.Floor(demand[s][e] * (0.9 + 0.2*rng.Float64()))
			}
		}
		if now >= slowAt {
			skew := lockstep.Skew(placement, demand, speed)
			skews = append(skews, skew)
			r.worst, r.best = max(r.worst, skew), min(r.best, skew)
		}
		if now < pollAt || next != nil {
			continue
		}
		pollAt = now + pollInterval
		d.Observe(time.Unix(0, 0).Add(now), 0, lockstep.CountStart{Epoch: 1}, clone(counts))
		if plan, _ := lockstep.Decide(lockstep.DefaultOptions(), placement, d, speed, x, g.expertShare); plan != nil {
			next, nextAt = plan.Placement, now+shiftSwitch+plan.CopyTime(x.CopyTime)
			if now >= slowAt {
				r.copies += plan.Copies
			}
		}
	}
	for i, skew := range skews {
		if skew > 1.1*r.best {
			r.settled = time.Duration(i+1) * shiftPass
		}
	}
	return r
}

// Guards against experts that stay on ranks that turned slow, where each pass of the group waits for them. With four in
// ten slow the other ranks have too few places for all experts, and the least demanded ones stay.
func TestExpertsMoveFromSlowRanks(t *testing.T) {
	for _, c := range []struct {
		name string
		slow int
		// maxSkew bounds the skew that is reached, settled the time until then.
		maxSkew float64
		settled time.Duration
	}{{"one", 1, 1.5, 700 * time.Millisecond}, {"four in ten", 25, 7, 900 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				r := hardLoadGroup.simulateSlowdown(seed, c.slow)
				t.Logf("seed %d: skew %.1f at first, %.1f at best, within a tenth of it after %v, %d copies", seed, r.worst, r.best, r.settled, r.copies)
				if r.best > c.maxSkew || r.settled > c.settled {
					t.Errorf("skew %.2f after %v, want %.1f after %v", r.best, r.settled, c.maxSkew, c.settled)
				}
			}
		})
	}
}

// reportTime is about how long the leader takes to read the reports of all ranks.
const reportTime = 20 * time.Millisecond

// nextTick returns the first time of a periodic event from a time on.
func nextTick(from, phase, period time.Duration) time.Duration {
	if from <= phase {
		return phase
	}
	return phase + (from-phase+period-1)/period*period
}

// Guards against streams that are sent to a slow rank, or stay there, for longer than half a second: the leader reads the
// ranks each pollInterval, its next digest tells the other gateways, and their next tick applies it to placements and
// moves streams. The number of slow ranks does not matter. Phases are random.
func TestSlowRankIsAvoidedWithinHalfASecond(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	phase := func(period time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(period))) }
	var sum, longest time.Duration
	const trials = 10000
	for range trials {
		known := nextTick(0, phase(pollInterval), pollInterval) + reportTime
		// The leader sends a digest at each tick that is workInterval after the last one.
		sent := nextTick(known, phase(workInterval), workInterval)
		applied := nextTick(sent, phase(tickInterval), tickInterval)
		sum, longest = sum+applied, max(longest, applied)
	}
	t.Logf("on average after %v, at most after %v", sum/trials, longest)
	if longest > 500*time.Millisecond {
		t.Errorf("a slow rank is avoided after %v", longest)
	}
}
