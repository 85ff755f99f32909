package dispatch_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// openingSeeds is over how many seeds the load of an opening is played.
const openingSeeds = 40

// opening plays the load of a group that breaks off under 80 requests a second and forms again two seconds later, with all
// that came meanwhile waiting at nine gateways. It returns how many streams were in time, late and refused over all seeds.
func opening(off ...dispatch.Mechanism) (onTime, late, refused int) {
	for seed := range uint64(openingSeeds) {
		g := newGroupReplay(seed, 9, 16, 12, 100*time.Millisecond, true, off...)
		g.firstMap, g.firstMapSlow, g.stall = 350*time.Millisecond, 2.4, 1500*time.Millisecond
		g.play(80, 10*time.Second, outage{3 * time.Second, 2 * time.Second})
		onTime, late, refused = onTime+g.onTime, late+g.late, refused+g.refused
	}
	return onTime, late, refused
}

// A group forms again, and what waited is late whatever is done. Read at once its prompts hold up those who ask meanwhile, whose
// first events come too late, and make every pass too long.
func TestLatePromptsLeaveRoomForOthers(t *testing.T) {
	with, _, _ := opening()
	without, _, _ := opening(dispatch.LateReading)
	if t.Logf("in time with it %d, without %d", with, without); with <= without {
		t.Fatalf("%d in time, %d without", with, without)
	}
}
