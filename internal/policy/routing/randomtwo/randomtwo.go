// Package randomtwo is a baseline policy: it picks two upstreams at random and of these the one with fewer requests, by
// the last report and this entry's own live count.
package randomtwo

import (
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// Picker implements routing.Picker.
type Picker struct{ upstreams []*routing.Upstream }

// New returns a picker.
func New(upstreams []*routing.Upstream) *Picker { return &Picker{upstreams: upstreams} }

// Pick implements routing.Picker.
func (p *Picker) Pick(req *routing.Request, _ time.Time) (routing.Choice, error) {
	usable, err := routing.Usable(p.upstreams, req, nil)
	if err != nil {
		return routing.Choice{}, err
	}
	a, b := twoIndexes(len(usable), req.Rand)
	first, second := usable[a], usable[b]
	if second.CurrentCounts().Requests() < first.CurrentCounts().Requests() {
		first = second
	}
	return routing.Plain(first, req), nil
}

// twoIndexes returns two different indexes below n, or 0 twice if n is 1.
func twoIndexes(n int, rand uint64) (int, int) {
	if n == 1 {
		return 0, 0
	}
	a := int(routing.Mix(rand, 1) % uint64(n))
	b := int(routing.Mix(rand, 2) % uint64(n-1))
	if b >= a {
		b++
	}
	return a, b
}
