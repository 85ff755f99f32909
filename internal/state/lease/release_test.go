package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

func at(version uint64) platform.Position { return platform.Position{Version: version} }

// wantRelease fails unless the effects are one write that names no holder and depends on the versions of the rows.
func wantRelease(t *testing.T, effects []Effect, version, fence platform.Position) {
	t.Helper()
	if len(effects) != 1 {
		t.Fatalf("got %d effects, want a release", len(effects))
	}
	w, ok := effects[0].(*Write)
	if !ok || w.Lease.GetHolder() != "" || w.Version != version || w.Fence != fence || w.NewFence {
		t.Fatalf("got %+v, want a release at versions %s and %s", effects[0], version, fence)
	}
}

// acquiring returns a contender whose first write is in flight.
func acquiring(t *testing.T, now time.Time) *Contender {
	t.Helper()
	h := NewContender("d", "node", "i-1", 9*time.Second, rand.New(rand.NewPCG(1, 2)))
	h.SetWanted(now, true)
	effects := h.OnRead(now, h.CallID(), Row{Lease: &cardamomyokev1.Lease{}}, true)
	if len(effects) != 1 || h.State() != stateAcquiring {
		t.Fatalf("state %s, effects %v", h.State(), effects)
	}
	return h
}

// Guards against a duty that nobody carries out for the length of its lease, because its acquisition succeeded after the node had
// stopped to want it.
func TestAcquisitionThatIsNoLongerWantedIsReleased(t *testing.T) {
	now := time.Now()
	h := acquiring(t, now)
	if effects := h.SetWanted(now, false); len(effects) != 0 {
		t.Fatalf("effects %v", effects)
	}
	wantRelease(t, h.OnWrite(now, h.CallID(), WriteResult{OK: true, Version: at(5), Fence: at(6)}), at(5), at(6))
	if held := h.Held(); held.ValidAt(now) {
		t.Fatalf("holds %+v", held)
	}
}

// Guards against a duty that nobody carries out for the length of its lease, because a renewal that was in flight when the node
// released it changed the row first.
func TestReleaseThatMeetsRenewalIsRepeated(t *testing.T) {
	now := time.Now()
	h := acquiring(t, now)
	h.OnWrite(now, h.CallID(), WriteResult{OK: true, Version: at(5), Fence: at(6)})
	now = now.Add(4 * time.Second)
	if effects := h.Tick(now); len(effects) != 1 {
		t.Fatalf("no renewal: %v", effects)
	}
	wantRelease(t, h.SetWanted(now, false), at(5), at(6))
	effects := h.OnWrite(now, h.CallID(), WriteResult{Conflict: true})
	if len(effects) != 1 {
		t.Fatalf("got %v, want a read", effects)
	}
	own := &cardamomyokev1.Lease{Holder: "node", Incarnation: "i-1"}
	wantRelease(t, h.OnRead(now, h.CallID(), Row{Lease: own, Version: at(7), Fence: at(6)}, true), at(7), at(6))
	h.OnWrite(now, h.CallID(), WriteResult{Conflict: true})
	other := &cardamomyokev1.Lease{Holder: "other", Incarnation: "i-2"}
	if effects := h.OnRead(now, h.CallID(), Row{Lease: other, Version: at(8), Fence: at(9)}, true); len(effects) != 0 {
		t.Fatalf("released the lease of another node: %v", effects)
	}
}
