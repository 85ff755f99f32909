package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
)

// A client with a limit gets many times of it in a deployment of 360 entries. Each entry hears a few neighbours only;
// it took the other 330 for gone, so it granted each new client a 28th of its limit in place of a 360th, and named an
// aggregator from its own neighbours, where no other entry sent its part of the demand.
func TestEntriesThatAreOnlyNamedCount(t *testing.T) {
	const entries, heard = 360, 28
	var list []membership.Identity
	for i := range entries {
		list = append(list, self(fmt.Sprintf("e%03d", i), entryRole, "a"))
	}
	members := membership.New(list[0], membership.Defaults(), t0)
	members.SetRoster(list, t0)
	now := t0
	for seq := range uint64(600) {
		now = now.Add(100 * time.Millisecond)
		for i := range heard {
			members.Receive(digest(fmt.Sprintf("e%03d", i+1), "1", seq+1, live), now)
		}
		members.Tick(now)
	}
	if got := members.Entries(); got != entries {
		t.Errorf("%d entries counted, want %d", got, entries)
	}
	if got := len(members.OtherEntries()); got != entries-1 {
		t.Errorf("%d other entries, want %d", got, entries-1)
	}
	members.Receive(digest("e001", "1", 1000, leaving), now)
	if got := len(members.OtherEntries()); got != entries-2 {
		t.Errorf("%d other entries after one leaves, want %d", got, entries-2)
	}
	if near, _ := members.Addresses(""); len(near) == 0 || near[0] != "h-e002" {
		t.Errorf("callers are sent to %v, want only live entries, by name", near)
	}
}
