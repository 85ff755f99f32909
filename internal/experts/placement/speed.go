package placement

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// speedMemory is the number of reports over which a rank's speed is averaged.
	speedMemory = 3.0
	// speedTolerance is the relative deviation from the median up to which a rank counts as equally fast.
	speedTolerance = 0.06
	// speedNoiseFactor is the factor by which a deviation must exceed the noise of the rank's own estimate to count.
	speedNoiseFactor = 4.0
	// minSpeed and maxSpeed bound the relative speed of a rank that is not stalled.
	minSpeed, maxSpeed = 0.05, 1.5
)

// speeds estimates how fast each rank computes, in tokens per second of work.
type speeds struct {
	rate     []float64
	lastRate []float64
	variance []float64
}

func newSpeeds(ranks int) *speeds {
	return &speeds{make([]float64, ranks), make([]float64, ranks), make([]float64, ranks)}
}

func (s *speeds) observe(r Report) {
	if r.Processed == 0 || r.Busy <= 0 {
		return
	}
	rate := float64(r.Processed) / r.Busy.Seconds()
	if s.rate[r.Rank] == 0 {
		s.rate[r.Rank], s.lastRate[r.Rank] = rate, rate
		return
	}
	diff := rate - s.lastRate[r.Rank]
	s.lastRate[r.Rank] = rate
	s.variance[r.Rank] += (diff*diff/2 - s.variance[r.Rank]) / (2 * speedMemory)
	s.rate[r.Rank] += (rate - s.rate[r.Rank]) / speedMemory
}

// relative returns each rank's speed relative to the median: 1 for a rank whose speed is unknown or not clearly
// different, and 0 for a stalled one.
func (s *speeds) relative(stalled []bool) []float64 {
	medianRate := s.median()
	out := make([]float64, len(s.rate))
	for r, rate := range s.rate {
		out[r] = 1
		if stalled[r] {
			out[r] = 0
			continue
		}
		if rate == 0 {
			continue
		}
		deviation := math.Abs(rate/medianRate - 1)
		noise := speedNoiseFactor * math.Sqrt(s.variance[r]/(2*speedMemory-1)) / medianRate
		if deviation > speedTolerance && deviation > noise {
			out[r] = min(max(rate/medianRate, minSpeed), maxSpeed)
		}
	}
	return out
}

func (s *speeds) median() float64 {
	var known []float64
	for _, rate := range s.rate {
		if rate > 0 {
			known = append(known, rate)
		}
	}
	if len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return stat.Quantile(0.5, stat.Empirical, known, nil)
}
