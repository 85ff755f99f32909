package gateway

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/coldstart"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Guards against gateways that go on together after a pause and write to a cold upstream in one second what they had placed there
// before.
func TestOutdatedPermitIsNotUsed(t *testing.T) {
	g := &Gateway{}
	g.view.Store(&view{upstreams: catalog.NewUpstreams(nil)})
	for name, tc := range map[string]struct {
		age      time.Duration
		coldPart float64
		outdated bool
	}{
		"cold, paused":       {coldstart.ValidFor + time.Second, 0.95, true},
		"cold, just placed":  {0, 0.95, false},
		"warm, paused":       {coldstart.ValidFor + time.Second, 0, false},
		"cold, slow to dial": {coldstart.ValidFor / 2, 0.95, false},
	} {
		n := &run{g: g, placedAt: time.Now().Add(-tc.age)}
		err := n.checkPlacement(&catalog.Upstream{ID: "u"}, dispatch.PlacementInputs{ColdPart: tc.coldPart}, n.placedAt)
		if isUnwritten(err) != tc.outdated {
			t.Errorf("%s: %v", name, err)
		}
		if tc.outdated && outcomeOf(t.Context(), err) != dispatch.OutcomeNone {
			t.Errorf("%s: the upstream is blamed for it", name)
		}
	}
}
