package entry

import (
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// drainedByOperator is appended to the health state of an upstream that gets no new work because an operator drained it.
const drainedByOperator = ", drained by an operator"

// UpstreamStatuses returns the status of the upstreams that this entry routes to, for operators.
func (e *Entry) UpstreamStatuses() []*cardamomyokev1.UpstreamStatus {
	var out []*cardamomyokev1.UpstreamStatus
	e.post(func(now time.Time) { out = e.state.upstreamStatuses(now) })
	return out
}

func (s *state) upstreamStatuses(now time.Time) []*cardamomyokev1.UpstreamStatus {
	var out []*cardamomyokev1.UpstreamStatus
	for _, status := range s.tracker.Statuses(now) {
		one := &cardamomyokev1.UpstreamStatus{
			Name: string(status.Upstream), Service: string(status.Service), State: string(status.State),
		}
		if s.snapshot != nil && s.snapshot.Drained(status.Upstream) {
			one.State += drainedByOperator
		}
		if u, ok := s.upstreams[status.Upstream]; ok {
			one.DataCentre = u.digest.GetDataCentre()
		}
		out = append(out, one)
	}
	return out
}
