package admission

import "time"

// RunTime estimates the run time of a service's requests from those that are done. The estimate is the mean plus twice
// the mean deviation, so that most requests do not exceed it. It is not safe for concurrent use.
type RunTime struct {
	mean, deviation float64
}

const (
	meanWeight      = 1.0 / 64
	deviationFactor = 2
)

// Observe records the time of one request from start to end.
func (r *RunTime) Observe(d time.Duration) {
	x := float64(d)
	if r.mean == 0 {
		r.mean = x
		return
	}
	r.mean += meanWeight * (x - r.mean)
	r.deviation += meanWeight * (max(x-r.mean, r.mean-x) - r.deviation)
}

// Estimate returns the expected run time, or 0 if none was observed.
func (r *RunTime) Estimate() time.Duration {
	return time.Duration(r.mean + deviationFactor*r.deviation)
}
