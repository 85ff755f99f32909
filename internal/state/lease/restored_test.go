package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Guards against a leader that stands down, and nobody who leads for the length of a lease: the store came back older and
// shows the holder before it, which counts as a later one.
func TestRestoredRowNamesNoLaterHolder(t *testing.T) {
	now := time.Now()
	h := NewContender("d", "node", "i-1", 3*time.Second, rand.New(rand.NewPCG(1, 2)))
	read := func(row Row) {
		now = now.Add(1100 * time.Millisecond)
		h.Tick(now)
		h.OnRead(now, h.CallID(), row, true)
	}
	h.SetWanted(now, true)
	former := &cardamomyokev1.Lease{Holder: "former", Incarnation: "i-0", LengthMs: 3000}
	in := func(era, version uint64) platform.Position { return platform.Position{Era: era, Version: version} }
	read(Row{Lease: &cardamomyokev1.Lease{}, Version: in(1, 90), Fence: in(1, 80)})
	h.OnWrite(now, h.CallID(), WriteResult{OK: true, Version: in(1, 91), Fence: in(1, 91)})
	if held := h.Held(); !held.ValidAt(now) {
		t.Fatal("the duty was not acquired")
	}
	read(Row{Lease: former, Version: in(2, 60), Fence: in(2, 55)})
	if held := h.Held(); held.ValidAt(now) || h.NewestFenceOfOthers() != 0 {
		t.Fatalf("holds %+v, newest fence of others %d", held, h.NewestFenceOfOthers())
	}
	read(Row{Lease: former, Version: in(2, 61), Fence: in(2, 61)})
	if want, _ := in(2, 61).Fence(); h.NewestFenceOfOthers() != want {
		t.Fatalf("newest fence of others %d, want %d of one that acquired the duty afterwards", h.NewestFenceOfOthers(), want)
	}
}

// Guards against a dead holder that counts as alive because the era of its row changes.
func TestChangeOfEraIsNoSignOfLife(t *testing.T) {
	now := time.Now()
	h := NewContender("d", "node", "i-1", 3*time.Second, rand.New(rand.NewPCG(1, 2)))
	h.SetWanted(now, true)
	dead := &cardamomyokev1.Lease{Holder: "dead", Incarnation: "i-0", LengthMs: 3000}
	for _, era := range []uint64{1, 2} {
		now = now.Add(1100 * time.Millisecond)
		h.Tick(now)
		h.OnRead(now, h.CallID(), Row{Lease: dead, Version: platform.Position{Era: era, Version: 60}}, true)
	}
	if h.renewedRecently(now) {
		t.Fatal("a restored row counts as renewed")
	}
}
