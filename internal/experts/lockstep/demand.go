package lockstep

import (
	"math"
	"time"
)

// Counts holds how often a rank's requests chose each expert since it started, by set and expert.
type Counts [][]float64

// Demand estimates which experts are in demand from the counts of the ranks. The ranks may be read at different
// times, and some not at all.
type Demand struct {
	halfLife  time.Duration
	last      map[int]reading
	value     [][]float64
	decayedAt time.Time
}

type reading struct {
	since  CountStart
	counts Counts
}

// NewDemand returns an empty estimate in which counts decay with the given half-life.
func NewDemand(half time.Duration) *Demand {
	return &Demand{halfLife: half, last: map[int]reading{}}
}

// Observe records one rank's counts. The first counts after a restart or a new epoch are only the base for the next
// ones.
func (d *Demand) Observe(now time.Time, rank int, since CountStart, counts Counts) {
	old, known := d.last[rank]
	d.last[rank] = reading{since, counts}
	if !known || old.since != since || !sameShape(old.counts, counts) {
		return
	}
	if !sameShape(Counts(d.value), counts) {
		d.value = zeros(counts)
	}
	d.decay(now)
	for s := range counts {
		for e := range counts[s] {
			// A count below the previous one indicates that the rank has started to count from 0 again.
			d.value[s][e] += max(0, counts[s][e]-old.counts[s][e])
		}
	}
}

func (d *Demand) decay(now time.Time) {
	if d.decayedAt.IsZero() {
		d.decayedAt = now
		return
	}
	keep := math.Exp2(-now.Sub(d.decayedAt).Seconds() / d.halfLife.Seconds())
	d.decayedAt = now
	if keep == 1 {
		return
	}
	for s := range d.value {
		for e := range d.value[s] {
			d.value[s][e] *= keep
		}
	}
}

// Value returns the estimate by set and expert, in counts; nil before two reads of one rank. The caller must not
// modify it.
func (d *Demand) Value() [][]float64 { return d.value }

// Total returns the sum of the decayed counts of one set.
func (d *Demand) Total() float64 {
	if len(d.value) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range d.value[0] {
		sum += v
	}
	return sum
}

func sameShape(a, b Counts) bool {
	if len(a) != len(b) {
		return false
	}
	for s := range a {
		if len(a[s]) != len(b[s]) {
			return false
		}
	}
	return true
}

func zeros(like Counts) [][]float64 {
	out := make([][]float64, len(like))
	for s := range like {
		out[s] = make([]float64, len(like[s]))
	}
	return out
}
