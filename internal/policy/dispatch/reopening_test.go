package dispatch_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// reopeningSeeds is the number of seeds that the load is simulated with.
const reopeningSeeds = 40

// simulateReopening simulates a group that breaks under 80 requests per second and re-forms two seconds later, with all
// requests of that time waiting at nine gateways. It returns the number of streams that were on time, late and refused
// over all seeds.
func simulateReopening(off ...dispatch.Mechanism) (onTime, late, refused int) {
	for seed := range uint64(reopeningSeeds) {
		g := newGroupSimulation(seed, 9, 16, 12, 100*time.Millisecond, true, off...)
		g.initialMapTime, g.initialMapSlowdown, g.resendDelay = 350*time.Millisecond, 2.4, 1500*time.Millisecond
		g.run(80, 10*time.Second, outage{3 * time.Second, 2 * time.Second})
		onTime, late, refused = onTime+g.onTime, late+g.late, refused+g.refused
	}
	return onTime, late, refused
}

// Guards against late requests that make others late: after a group has re-formed, its waiting requests are late in any
// case. If the prefill of all of them were done immediately, every pass would be too long and the first events of newly
// arriving requests would be late too.
func TestLatePromptsLeaveCapacityForOthers(t *testing.T) {
	with, _, _ := simulateReopening()
	without, _, _ := simulateReopening(dispatch.LatePrefill)
	if t.Logf("in time with it %d, without %d", with, without); with <= without {
		t.Fatalf("%d in time with late reading limited, %d without", with, without)
	}
}
