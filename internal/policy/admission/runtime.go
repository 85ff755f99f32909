package admission

import "time"

// RunTime estimates how long a request of a service runs, from those that ended: the mean and twice the mean
// deviation, so that most requests need no more. It belongs to one goroutine.
type RunTime struct {
	mean, deviation float64
}

const (
	meanWeight      = 1.0 / 64
	deviationFactor = 2
)

// Observe takes in one request's time from its start to its end.
func (r *RunTime) Observe(d time.Duration) {
	x := float64(d)
	if r.mean == 0 {
		r.mean = x
		return
	}
	r.mean += meanWeight * (x - r.mean)
	r.deviation += meanWeight * (max(x-r.mean, r.mean-x) - r.deviation)
}

// Estimate returns the expected time, or 0 if nothing was observed.
func (r *RunTime) Estimate() time.Duration {
	return time.Duration(r.mean + deviationFactor*r.deviation)
}
