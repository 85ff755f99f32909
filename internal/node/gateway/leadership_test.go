package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// leadStep is what a gateway knows at some time, and what it decides.
type leadStep struct {
	at        time.Duration
	allocated ids.Fence
	input     electionInput
	fence     ids.Fence
	allocate  bool
}

func TestLeadership(t *testing.T) {
	first := electionInput{Ready: true}
	away := electionInput{Ready: true, PendingFor: time.Second}
	led := -1
	for name, steps := range map[string][]leadStep{
		// The store is there: the lease is got within some calls, and the number that was drawn ahead is used at once.
		"by the lease": {
			{at: 0, allocated: 7, input: first},
			{at: 20 * time.Millisecond, input: electionInput{Ready: true, HeldFence: 12, SeenFence: 12}, fence: 7},
			{at: 9 * time.Second, input: electionInput{Ready: true, SeenFence: 12}, fence: 7},
		},
		// Callers of a group wait: its leader ended with the group held, and the store is away, so that no lease is to be got.
		// The first candidate goes on under the number that it drew while the store was there.
		"without the store": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, Position: led, PeerFence: 5, SeenFence: 4}},
			{at: time.Second, input: electionInput{Ready: true, Position: led, SeenFence: 4}},
			{at: 1200 * time.Millisecond, input: electionInput{Ready: true, SeenFence: 4}},
			{at: 1300 * time.Millisecond, input: electionInput{Ready: true, SeenFence: 4, PendingFor: 150 * time.Millisecond}, fence: 7},
			{at: 8 * time.Second, input: electionInput{Ready: true, HeldFence: 30, SeenFence: 30}, fence: 7},
		},
		// The leader's process is started again at once and is first of all, but it has no number and cannot draw one. The next
		// candidate has one and takes the duty instead.
		"first without a number": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, Position: led, PeerFence: 5}},
			{at: time.Second, input: electionInput{Ready: true, Position: led}},
			{at: 1100 * time.Millisecond, input: electionInput{Ready: true, Position: 1, PendingFor: 100 * time.Millisecond}},
			{at: 1600 * time.Millisecond, input: electionInput{Ready: true, Position: 1, PendingFor: 150 * time.Millisecond}, fence: 7},
		},
		// The store answers: another gateway holds the lease and cannot be heard. Whether it has ended is the lease's to say.
		"the store answers": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, SeenFence: 4}},
			{at: time.Second, input: electionInput{Ready: true, SeenFence: 4, PendingFor: 5 * time.Millisecond}},
			{at: 2 * time.Second, input: electionInput{Ready: true, SeenFence: 4}},
		},
		// Of two candidates with numbers the one with the lower goes first; the other one's is good for the time after.
		"the lower number first": {
			{at: 0, allocated: 9, input: electionInput{Ready: true, Position: led, PeerFence: 5}},
			{at: time.Second, input: electionInput{Ready: true, Position: led}},
			{at: 1100 * time.Millisecond, input: electionInput{Ready: true, Position: 2, LowerSpares: 1, PendingFor: 400 * time.Millisecond}},
			{at: 1250 * time.Millisecond, input: electionInput{Ready: true, Position: 0, LowerSpares: 1, PendingFor: 400 * time.Millisecond}},
			{at: 1300 * time.Millisecond, input: electionInput{Ready: true, Position: 2, LowerSpares: 1, PendingFor: 400 * time.Millisecond}, fence: 9},
		},
		// A number that was drawn before the last leader's would be refused by ranks that have its map.
		"spare of before the last leader": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, Position: led, PeerFence: 9}},
			{at: time.Second, input: electionInput{Ready: true, Position: led, PeerFence: 9}},
			{at: 1200 * time.Millisecond, input: first},
			{at: 2 * time.Second, input: away, allocate: true},
			{at: 3 * time.Second, allocated: 11, input: away, fence: 11},
		},
		// A leader that was paused hears of the one that took its place, and stops; it does not begin again when that one ends.
		"a later leader": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, HeldFence: 2, SeenFence: 2}, fence: 7},
			{at: time.Second, input: electionInput{Ready: true, Position: led, PeerFence: 8, SeenFence: 2}},
			{at: 1200 * time.Millisecond, input: electionInput{Ready: true, Position: 1, SeenFence: 2}},
		},
		// A later lease in the store tells the same, where the new leader's digests do not arrive.
		"a later lease": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, HeldFence: 2, SeenFence: 2}, fence: 7},
			{at: time.Second, input: electionInput{Ready: true, Position: led, SeenFence: 3}},
		},
		// A gateway that leaves gives no orders any more.
		"leaving": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, HeldFence: 2, SeenFence: 2}, fence: 7},
			{at: time.Second, input: electionInput{HeldFence: 2, SeenFence: 2}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leadership{}
			for _, s := range steps {
				l.allocated(s.allocated)
				gotFence, gotAllocate := l.decide(time.Unix(0, 0).Add(s.at), s.input)
				if diff := cmp.Diff([]any{s.fence, s.allocate}, []any{gotFence, gotAllocate}); diff != "" {
					t.Fatalf("at %s (-want +got): %s", s.at, diff)
				}
			}
		})
	}
}
