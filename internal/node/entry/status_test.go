package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/node/host"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

// Guards against a status in which a healthy upstream that an operator drained looks as if it still accepted work.
func TestStatusShowsDrainedUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newState(&Settings{Settings: host.Settings{Name: "e1", DataCentre: "vallejo"}}, nil, limits.New(limits.Defaults(), 1), log.NewNopLogger(), now)
	for _, name := range []string{"u1", "u2"} {
		s.receiveSlotDigest(&cardamomyokev1.Digest{
			Node: name, Incarnation: "a", Role: cardamomyokev1.NodeRole_NODE_ROLE_SLOT,
			Slot: &cardamomyokev1.SlotLoad{Service: "desk-model"},
		}, now)
	}
	for _, drained := range []bool{true, false} {
		snap, err := config.NewSnapshot(&cardamomyokev1.Configuration{
			Revision:  1,
			Policies:  &cardamomyokev1.Policies{AddressKeepMs: 5000, EjectionPercent: 30, QuarantineS: 60},
			Upstreams: []*cardamomyokev1.UpstreamOverride{{Name: "u1", Drained: drained}},
		})
		if err != nil {
			t.Fatal(err)
		}
		s.applySnapshot(snap)
		list := s.upstreamStatuses(now)
		if len(list) != 2 {
			t.Fatalf("status %v", list)
		}
		for _, u := range list {
			want := drained && u.GetName() == "u1"
			if strings.HasSuffix(u.GetState(), drainedByOperator) != want {
				t.Errorf("drained %v: %v", drained, u)
			}
		}
	}
}
