// Package runtimes estimates how long requests run, from those that ended recently. A node that is about to stop uses it to decide which
// requests it can still finish.
package runtimes

import (
	"math"
	"sync"
	"time"
)

const (
	// shortest is the upper bound of the first bucket; each further one is wider by the factor growth, and the last has no upper bound.
	shortest = time.Millisecond
	growth   = 1.2
	buckets  = 64
	// halfLife is how long it takes until a run time counts half.
	halfLife = 15 * time.Second
	// leastWeight is the weight of run times below which nothing is known.
	leastWeight = 0.5
)

// Estimator keeps recent run times. It is safe for concurrent use. The zero value knows none.
type Estimator struct {
	mu      sync.Mutex
	weights [buckets]float64
	agedAt  time.Time
}

// Record adds the run time of a request that ended now.
func (e *Estimator) Record(d time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.age(now)
	e.weights[bucketOf(d)]++
}

// Quantile returns a time within which the given share of requests end, from 0 to 1; ok is false if no run time is known.
func (e *Estimator) Quantile(share float64, now time.Time) (d time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.age(now)
	total := 0.0
	for _, w := range e.weights {
		total += w
	}
	if total < leastWeight {
		return 0, false
	}
	sum := 0.0
	for i, w := range e.weights {
		if sum += w; sum >= share*total {
			return upperBound(i), true
		}
	}
	return upperBound(buckets - 1), true
}

// age reduces the weights of earlier run times once per half-life.
func (e *Estimator) age(now time.Time) {
	if e.agedAt.IsZero() {
		e.agedAt = now
	}
	n := int(now.Sub(e.agedAt) / halfLife)
	if n <= 0 {
		return
	}
	factor := math.Pow(0.5, float64(n))
	for i := range e.weights {
		e.weights[i] *= factor
	}
	e.agedAt = e.agedAt.Add(time.Duration(n) * halfLife)
}

func bucketOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	i := math.Ceil(math.Log(float64(d)/float64(shortest)) / math.Log(growth))
	return min(buckets-1, int(i))
}

func upperBound(i int) time.Duration {
	return time.Duration(float64(shortest) * math.Pow(growth, float64(i)))
}
