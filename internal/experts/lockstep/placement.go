package lockstep

import "slices"

// Placement lists, for each set of layers and each rank, the experts that the rank holds.
type Placement [][][]int

// Clone returns a deep copy.
func (p Placement) Clone() Placement {
	out := make(Placement, len(p))
	for s, ranks := range p {
		out[s] = make([][]int, len(ranks))
		for r, experts := range ranks {
			out[s][r] = slices.Clone(experts)
		}
	}
	return out
}

// Copies returns the number of experts that ranks must load for a change of placement, over all ranks and sets.
func Copies(from, to Placement) int {
	n := 0
	for s := range to {
		for r := range to[s] {
			n += newExperts(from[s][r], to[s][r])
		}
	}
	return n
}

// MaxCopies returns the maximum number of experts that one rank must load, over all sets; a rank loads them one after
// the other.
func MaxCopies(from, to Placement) int {
	if len(to) == 0 {
		return 0
	}
	maximum := 0
	for r := range to[0] {
		n := 0
		for s := range to {
			n += newExperts(from[s][r], to[s][r])
		}
		maximum = max(maximum, n)
	}
	return maximum
}

func newExperts(before, after []int) int {
	n := 0
	for _, e := range after {
		if !slices.Contains(before, e) {
			n++
		}
	}
	return n
}

// Skew returns the time that the sets' experts take relative to a perfect balance: the load of the most loaded rank
// divided by the mean load, averaged over the sets. demand holds each set's demand by expert, speed each rank's
// speed, 1 for a normal one.
func Skew(p Placement, demand [][]float64, speed []float64) float64 {
	sum := 0.0
	for s := range p {
		sum += setSkew(p[s], demand[s], speed)
	}
	return sum / float64(max(1, len(p)))
}

func setSkew(ranks [][]int, demand, speed []float64) float64 {
	loads := setLoads(ranks, demand, speed)
	total := 0.0
	for _, d := range demand {
		total += d
	}
	if total == 0 {
		return 1
	}
	return slices.Max(loads) * float64(len(ranks)) / total
}

// setLoads returns each rank's time for the set.
func setLoads(ranks [][]int, demand, speed []float64) []float64 {
	holders := make([]int, len(demand))
	for _, experts := range ranks {
		for _, e := range experts {
			holders[e]++
		}
	}
	loads := make([]float64, len(ranks))
	for r, experts := range ranks {
		for _, e := range experts {
			loads[r] += demand[e] / float64(holders[e])
		}
		loads[r] /= speed[r]
	}
	return loads
}
