// Package roundrobin is a baseline policy: it picks the usable upstreams in turn.
package roundrobin

import (
	"sync/atomic"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

// Picker implements routing.Picker.
type Picker struct {
	upstreams []*routing.Upstream
	turn      *atomic.Uint64
}

// New returns a picker. turn is shared by successive pickers of the same service.
func New(upstreams []*routing.Upstream, turn *atomic.Uint64) *Picker {
	return &Picker{upstreams: upstreams, turn: turn}
}

// Pick implements routing.Picker.
func (p *Picker) Pick(req *routing.Request, _ time.Time) (routing.Choice, error) {
	usable, err := routing.Usable(p.upstreams, req, nil)
	if err != nil {
		return routing.Choice{}, err
	}
	turn := p.turn.Add(1) - 1
	return routing.Plain(usable[turn%uint64(len(usable))], req), nil
}
