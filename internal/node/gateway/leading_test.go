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
	rivals    rivals
	number    ids.Fence
	allocate  bool
}

func TestLeadership(t *testing.T) {
	first := rivals{Ready: true}
	away := rivals{Ready: true, PendingFor: time.Second}
	led := -1
	for name, steps := range map[string][]leadStep{
		// The store is there: the lease is got within some calls, and the number that was drawn ahead is used at once.
		"by the lease": {
			{at: 0, allocated: 7, rivals: first},
			{at: 20 * time.Millisecond, rivals: rivals{Ready: true, Held: 12, Seen: 12}, number: 7},
			{at: 9 * time.Second, rivals: rivals{Ready: true, Seen: 12}, number: 7},
		},
		// Callers of a group wait: its leader ended with the group held, and the store is away, so that no lease is to be got.
		// The first candidate goes on under the number that it drew while the store was there.
		"without the store": {
			{at: 0, allocated: 7, rivals: rivals{Ready: true, Place: led, Heard: 5, Seen: 4}},
			{at: time.Second, rivals: rivals{Ready: true, Place: led, Seen: 4}},
			{at: 1200 * time.Millisecond, rivals: rivals{Ready: true, Seen: 4}},
			{at: 1300 * time.Millisecond, rivals: rivals{Ready: true, Seen: 4, PendingFor: 150 * time.Millisecond}, number: 7},
			{at: 8 * time.Second, rivals: rivals{Ready: true, Held: 30, Seen: 30}, number: 7},
		},
		// The leader's process is started again at once and is first of all, but it has no number and cannot draw one. The next
		// candidate has one and takes the duty instead.
		"first without a number": {
			{at: 0, allocated: 7, rivals: rivals{Ready: true, Place: led, Heard: 5}},
			{at: time.Second, rivals: rivals{Ready: true, Place: led}},
			{at: 1100 * time.Millisecond, rivals: rivals{Ready: true, Place: 1, PendingFor: 100 * time.Millisecond}},
			{at: 1600 * time.Millisecond, rivals: rivals{Ready: true, Place: 1, PendingFor: 150 * time.Millisecond}, number: 7},
		},
		// The store answers: another gateway holds the lease and cannot be heard. Whether it has ended is the lease's to say.
		"the store answers": {
			{at: 0, allocated: 7, rivals: rivals{Ready: true, Seen: 4}},
			{at: time.Second, rivals: rivals{Ready: true, Seen: 4, PendingFor: 5 * time.Millisecond}},
			{at: 2 * time.Second, rivals: rivals{Ready: true, Seen: 4}},
		},
		// Of two candidates with numbers the one with the lower goes first; the other one's is good for the time after.
		"the lower number first": {
			{at: 0, allocated: 9, rivals: rivals{Ready: true, Place: led, Heard: 5}},
			{at: time.Second, rivals: rivals{Ready: true, Place: led}},
			{at: 1100 * time.Millisecond, rivals: rivals{Ready: true, Place: 2, Lower: 1, PendingFor: 400 * time.Millisecond}},
			{at: 1250 * time.Millisecond, rivals: rivals{Ready: true, Place: 0, Lower: 1, PendingFor: 400 * time.Millisecond}},
			{at: 1300 * time.Millisecond, rivals: rivals{Ready: true, Place: 2, Lower: 1, PendingFor: 400 * time.Millisecond}, number: 9},
		},
		// A number that was drawn before the last leader's would be refused by ranks that have its map.
		"spare of before the last leader": {
			{at: 0, allocated: 7, rivals: rivals{Ready: true, Place: led, Heard: 9}},
			{at: time.Second, rivals: rivals{Ready: true, Place: led, Heard: 9}},
			{at: 1200 * time.Millisecond, rivals: first},
			{at: 2 * time.Second, rivals: away, allocate: true},
			{at: 3 * time.Second, allocated: 11, rivals: away, number: 11},
		},
		// A leader that was paused hears of the one that took its place, and stops; it does not begin again when that one ends.
		"a later leader": {
			{at: 0, allocated: 7, rivals: rivals{Ready: true, Held: 2, Seen: 2}, number: 7},
			{at: time.Second, rivals: rivals{Ready: true, Place: led, Heard: 8, Seen: 2}},
			{at: 1200 * time.Millisecond, rivals: rivals{Ready: true, Place: 1, Seen: 2}},
		},
		// A later lease in the store tells the same, where the new leader's digests do not arrive.
		"a later lease": {
			{at: 0, allocated: 7, rivals: rivals{Ready: true, Held: 2, Seen: 2}, number: 7},
			{at: time.Second, rivals: rivals{Ready: true, Place: led, Seen: 3}},
		},
		// A gateway that leaves gives no orders any more.
		"leaving": {
			{at: 0, allocated: 7, rivals: rivals{Ready: true, Held: 2, Seen: 2}, number: 7},
			{at: time.Second, rivals: rivals{Held: 2, Seen: 2}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := &leadership{}
			for _, s := range steps {
				l.allocated(s.allocated)
				number, draw := l.decide(time.Unix(0, 0).Add(s.at), s.rivals)
				if diff := cmp.Diff([]any{s.number, s.allocate}, []any{number, draw}); diff != "" {
					t.Fatalf("at %s (-want +got): %s", s.at, diff)
				}
			}
		})
	}
}
