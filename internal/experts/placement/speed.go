package placement

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	// speedMemory is the length of the average of a rank's speed, in reports.
	speedMemory = 3.0
	// speedTolerance is how far from the others' speed a rank may be and still count as equally fast.
	speedTolerance = 0.06
	// speedNoiseFactor is how many times its own noise a deviation must be before it counts.
	speedNoiseFactor = 4.0
	slowest, fastest = 0.05, 1.5
)

// speeds estimates how fast each rank computes, in tokens a second of work.
type speeds struct {
	rate     []float64
	last     []float64
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
		s.rate[r.Rank], s.last[r.Rank] = rate, rate
		return
	}
	diff := rate - s.last[r.Rank]
	s.last[r.Rank] = rate
	s.variance[r.Rank] += (diff*diff/2 - s.variance[r.Rank]) / (2 * speedMemory)
	s.rate[r.Rank] += (rate - s.rate[r.Rank]) / speedMemory
}

// relative returns each rank's speed over the median; 1 for one that is not known or not clearly different, and 0 for
// one that is stalled.
func (s *speeds) relative(stalled []bool) []float64 {
	typical := s.median()
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
		off := math.Abs(rate/typical - 1)
		noise := speedNoiseFactor * math.Sqrt(s.variance[r]/(2*speedMemory-1)) / typical
		if off > speedTolerance && off > noise {
			out[r] = min(max(rate/typical, slowest), fastest)
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
