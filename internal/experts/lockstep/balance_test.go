package lockstep_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
)

// popularity returns a Zipf-like demand for experts in random order.
func popularity(rng *rand.Rand, experts int, exponent float64) []float64 {
	demand := make([]float64, experts)
	for i, e := range rng.Perm(experts) {
		demand[e] = 1000 * math.Pow(float64(i+1), -exponent)
	}
	return demand
}

// roundRobin assigns the experts of one set to ranks in turn.
func roundRobin(experts, ranks int) lockstep.Placement {
	p := lockstep.Placement{make([][]int, ranks)}
	for e := range experts {
		p[0][e%ranks] = append(p[0][e%ranks], e)
	}
	return p
}

// Guards against a search that stops while one rank still does most of the experts' work, which callers see as long
// pauses between tokens. A switch may bring only two new experts to a rank, so the most loaded rank is relieved step
// by step. Where that is not immediately possible, the next most loaded ranks must be relieved first.
func TestBalanceRelievesTheMostLoadedRank(t *testing.T) {
	for _, c := range []struct {
		name                       string
		ranks, experts, placements int
		exponent, maxSkew          float64
		switches                   int
	}{
		{"few ranks, many placements", 16, 64, 5, 1.1, 1.10, 3},
		{"many ranks, few placements", 72, 144, 3, 0.52, 1.10, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			demand := [][]float64{popularity(rng, c.experts, c.exponent)}
			speed := make([]float64, c.ranks)
			for i := range speed {
				speed[i] = 1
			}
			limits := lockstep.RankLimits{MaxPerRank: c.placements, Spare: 2}
			p := roundRobin(c.experts, c.ranks)
			for range c.switches {
				next := lockstep.Balance(p, demand, speed, limits, 0.001)
				checkLimits(t, p, next, limits, c.experts)
				p = next
			}
			if got := lockstep.Skew(p, demand, speed); got > c.maxSkew {
				t.Fatalf("skew %.3f after %d switches, want %.2f at most", got, c.switches, c.maxSkew)
			}
		})
	}
}

// checkLimits fails if a placement loses an expert, holds one twice on a rank, or exceeds the ranks' limits.
func checkLimits(t *testing.T, from, to lockstep.Placement, limits lockstep.RankLimits, experts int) {
	t.Helper()
	held := map[int]bool{}
	for r, list := range to[0] {
		had := map[int]bool{}
		for _, e := range from[0][r] {
			had[e] = true
		}
		loads, own := 0, map[int]bool{}
		for _, e := range list {
			if own[e] {
				t.Fatalf("rank %d holds expert %d twice", r, e)
			}
			own[e], held[e] = true, true
			if !had[e] {
				loads++
			}
		}
		if len(list) > limits.MaxPerRank || loads > limits.Spare {
			t.Fatalf("rank %d holds %d experts and loads %d", r, len(list), loads)
		}
	}
	if len(held) != experts {
		t.Fatalf("%d of %d experts are held", len(held), experts)
	}
}

// BenchmarkBalance balances one set from the first map at a low price of copies, which is the longest search.
func BenchmarkBalance(b *testing.B) {
	for _, size := range []struct{ ranks, experts int }{{16, 64}, {72, 144}, {192, 384}} {
		b.Run(fmt.Sprintf("%d ranks, %d experts", size.ranks, size.experts), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			speed := make([]float64, size.ranks)
			for i := range speed {
				speed[i] = 1
			}
			limits := lockstep.RankLimits{MaxPerRank: 3, Spare: 2}
			if size.experts/size.ranks == 4 {
				limits.MaxPerRank = 5
			}
			p := roundRobin(size.experts, size.ranks)
			demand := [][]float64{popularity(rng, size.experts, 0.52)}
			for b.Loop() {
				lockstep.Balance(p, demand, speed, limits, 0.01)
			}
		})
	}
}
