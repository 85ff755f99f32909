package placement

import (
	"math"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// noiseMemory is the number of windows over which noise is averaged.
	noiseMemory = 30.0
	// minNoisePairs is the minimum number of compared pairs of windows for an estimate of noise.
	minNoisePairs = 10
)

// noise measures how much the load of a rank in a layer differs from one window to the next under one map. Drift is
// slow compared with a window, so the difference is noise.
type noise struct {
	shape     expert.Shape
	m         *expert.Map
	lastLoads []float64
	variance  float64
	// pairs is the number of pairs of windows compared so far.
	pairs int
}

// ready reports whether enough pairs of windows were compared for an estimate.
func (n *noise) ready() bool { return n.pairs >= minNoisePairs }

// observe records a window, given as shares by cell. The first window after a change of the map is only the reference
// for the next one.
func (n *noise) observe(m *expert.Map, shares []float64) {
	if m == nil {
		return
	}
	loads := rankLoads(n.shape, m, shares)
	if n.m != m {
		n.m = m
		n.lastLoads = loads
		return
	}
	d := floats.Distance(loads, n.lastLoads, 2) * float64(n.shape.Ranks)
	v := d * d / 2 / float64(len(loads))
	n.pairs++
	n.variance += (v - n.variance) / min(float64(n.pairs), noiseMemory)
	n.lastLoads = loads
}

// rankLoads returns each rank's share of the tokens of each layer.
func rankLoads(shape expert.Shape, m *expert.Map, shares []float64) []float64 {
	loads := make([]float64, shape.Layers*shape.Ranks)
	for c, p := range shares {
		l := c / shape.Experts
		for _, r := range m.At(l, c%shape.Experts) {
			loads[l*shape.Ranks+r.Rank] += p * float64(r.Share) / expert.ShareUnit
		}
	}
	return loads
}

// skew returns how much noise adds to the skew of a balanced map, for an average whose noise is factor times that of
// one window. It is the expected largest of as many normal deviations as there are ranks.
func (n *noise) skew(factor float64) float64 {
	return math.Sqrt(n.variance*2*math.Log(float64(max(2, n.shape.Ranks)))) * factor
}
