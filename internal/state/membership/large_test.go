package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/membership"
)

// Guards against a client that gets many times its limit, as in a deployment of 360 entries. Each entry receives
// digests only from a few neighbours; it classified the other 330 as dead, so it granted each new client a 28th of its
// limit instead of a 360th, and chose an aggregator among its own neighbours, to which no other entry sent its share of
// the demand.
func TestRosterEntriesWithoutDigestsCount(t *testing.T) {
	const entries, received = 360, 28
	var list []membership.Identity
	for i := range entries {
		list = append(list, self(fmt.Sprintf("e%03d", i), entryRole, "a"))
	}
	members := membership.New(list[0], membership.Defaults(), t0)
	members.SetRoster(list, t0)
	now := t0
	for seq := range uint64(600) {
		now = now.Add(100 * time.Millisecond)
		for i := range received {
			members.Receive(digest(fmt.Sprintf("e%03d", i+1), "1", seq+1, live), now)
		}
		members.Tick(now)
	}
	if got := members.EntryCount(); got != entries {
		t.Errorf("%d entries counted, want %d", got, entries)
	}
	if got := len(members.OtherEntries()); got != entries-1 {
		t.Errorf("%d other entries, want %d", got, entries-1)
	}
	members.Receive(digest("e001", "1", 1000, leaving), now)
	if got := len(members.OtherEntries()); got != entries-2 {
		t.Errorf("%d other entries after one is leaving, want %d", got, entries-2)
	}
	if local, _ := members.Addresses(""); len(local) == 0 || local[0] != "h-e002" {
		t.Errorf("callers are sent to %v, want only live entries, by name", local)
	}
}
