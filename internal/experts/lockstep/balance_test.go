package lockstep_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/lockstep"
)

// popularity is a Zipf-like demand for experts, dealt in random order.
func popularity(rng *rand.Rand, experts int, exponent float64) []float64 {
	demand := make([]float64, experts)
	for i, e := range rng.Perm(experts) {
		demand[e] = 1000 * math.Pow(float64(i+1), -exponent)
	}
	return demand
}

// roundRobin deals the experts of one set to ranks in turn.
func roundRobin(experts, ranks int) lockstep.Placement {
	p := lockstep.Placement{make([][]int, ranks)}
	for e := range experts {
		p[0][e%ranks] = append(p[0][e%ranks], e)
	}
	return p
}

// Callers see long pauses between tokens while one rank does most of the experts' work. Each switch may bring two new
// experts to a rank, so that the most loaded one is relieved step by step; where it cannot be relieved at once, the next
// most loaded ranks are, or the search would end there and the group would stay slow.
func TestBalanceRelievesTheMostLoadedRank(t *testing.T) {
	for _, c := range []struct {
		name                   string
		ranks, experts, places int
		exponent, most         float64
		switches               int
	}{
		{"few ranks with many places", 16, 64, 5, 1.1, 1.10, 3},
		{"many ranks with few places", 72, 144, 3, 0.52, 1.10, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			demand := [][]float64{popularity(rng, c.experts, c.exponent)}
			speed := make([]float64, c.ranks)
			for i := range speed {
				speed[i] = 1
			}
			room := lockstep.RankLimits{Placements: c.places, Spare: 2}
			p := roundRobin(c.experts, c.ranks)
			for range c.switches {
				next := lockstep.Balance(p, demand, speed, room, 0.001)
				checkLimits(t, p, next, room, c.experts)
				p = next
			}
			if got := lockstep.Skew(p, demand, speed); got > c.most {
				t.Fatalf("skew %.3f after %d switches, want %.2f at most", got, c.switches, c.most)
			}
		})
	}
}

// checkLimits fails if a placement loses an expert, holds one twice on a rank, or breaks the ranks' limits.
func checkLimits(t *testing.T, from, to lockstep.Placement, room lockstep.RankLimits, experts int) {
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
		if len(list) > room.Placements || loads > room.Spare {
			t.Fatalf("rank %d holds %d experts and loads %d", r, len(list), loads)
		}
	}
	if len(held) != experts {
		t.Fatalf("%d of %d experts are held", len(held), experts)
	}
}

// BenchmarkBalance is one set from map 0 on, at a low price of copies: the longest search that there is.
func BenchmarkBalance(b *testing.B) {
	for _, size := range []struct{ ranks, experts int }{{16, 64}, {72, 144}, {192, 384}} {
		b.Run(fmt.Sprintf("%d ranks, %d experts", size.ranks, size.experts), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			speed := make([]float64, size.ranks)
			for i := range speed {
				speed[i] = 1
			}
			room := lockstep.RankLimits{Placements: 3, Spare: 2}
			if size.experts/size.ranks == 4 {
				room.Placements = 5
			}
			p := roundRobin(size.experts, size.ranks)
			demand := [][]float64{popularity(rng, size.experts, 0.52)}
			for b.Loop() {
				lockstep.Balance(p, demand, speed, room, 0.01)
			}
		})
	}
}
