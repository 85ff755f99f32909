// Package leastrequests is a baseline policy: it picks the upstream with the fewest requests of this entry in flight.
package leastrequests

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// Picker implements routing.Picker.
type Picker struct{ upstreams []*routing.Upstream }

// New returns a picker.
func New(upstreams []*routing.Upstream) *Picker { return &Picker{upstreams: upstreams} }

// Pick implements routing.Picker. Ties are broken at random, so that several entries do not choose the same upstream.
func (p *Picker) Pick(req *routing.Request, _ time.Time) (routing.Choice, error) {
	usable, err := routing.Usable(p.upstreams, req, nil)
	if err != nil {
		return routing.Choice{}, err
	}
	offset := int(req.Rand % uint64(len(usable)))
	best := usable[offset]
	fewest := best.Work.Counts().Requests()
	for i := 1; i < len(usable); i++ {
		u := usable[(offset+i)%len(usable)]
		if n := u.Work.Counts().Requests(); n < fewest {
			best, fewest = u, n
		}
	}
	return routing.Plain(best, req), nil
}
