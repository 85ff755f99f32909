package placement

import (
	"math"

	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// noiseForget is the time, in windows, over which noise is averaged.
	noiseForget = 30.0
	// noisePairs is the least number of pairs of windows that an estimate of noise rests on.
	noisePairs = 10
)

// noise measures by how much the load of a rank in a layer differs from one window to the next under one map. Drift is
// slow against a window, so what differs is noise.
type noise struct {
	shape    expert.Shape
	m        *expert.Map
	last     []float64
	variance float64
	// pairs is the number of pairs of windows that were compared.
	pairs int
}

// known reports whether enough windows were compared to tell noise from drift.
func (n *noise) known() bool { return n.pairs >= noisePairs }

// observe takes in a window, as shares by cell. The first window after a change of the map only sets the start.
func (n *noise) observe(m *expert.Map, shares []float64) {
	if m == nil {
		return
	}
	loads := rankLoads(n.shape, m, shares)
	if n.m != m {
		n.m = m
		n.last = loads
		return
	}
	d := floats.Distance(loads, n.last, 2) * float64(n.shape.Ranks)
	v := d * d / 2 / float64(len(loads))
	n.pairs++
	n.variance += (v - n.variance) / min(float64(n.pairs), noiseForget)
	n.last = loads
}

// rankLoads returns the part of each layer's tokens that each rank takes.
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

// skew returns what the noise of an average, factor times that of one window, adds to the skew of a balanced map: the
// largest of as many normal deviations as there are ranks.
func (n *noise) skew(factor float64) float64 {
	return math.Sqrt(n.variance*2*math.Log(float64(max(2, n.shape.Ranks)))) * factor
}
