package gateway

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// leadStep is a gateway's input at some time, and the expected decision.
type leadStep struct {
	at        time.Duration
	allocated ids.Fence
	input     electionInput
	fence     ids.Fence
	allocate  bool
}

func TestLeadership(t *testing.T) {
	firstCandidate := electionInput{Ready: true}
	storeDown := electionInput{Ready: true, PendingFor: time.Second}
	leaderKnown := -1
	for name, steps := range map[string][]leadStep{
		// The store responds: the lease is acquired within a few calls, and the spare token is used immediately.
		"with the lease": {
			{at: 0, allocated: 7, input: firstCandidate},
			{at: 20 * time.Millisecond, input: electionInput{Ready: true, HeldFence: 12, SeenFence: 12}, fence: 7},
			{at: 9 * time.Second, input: electionInput{Ready: true, SeenFence: 12}, fence: 7},
		},
		// The leader died while it held back requests of a group, and the store is unreachable, so no lease can be
		// acquired. The first candidate continues under the token that it allocated while the store was reachable.
		"without the store": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, Position: leaderKnown, PeerFence: 5, SeenFence: 4}},
			{at: time.Second, input: electionInput{Ready: true, Position: leaderKnown, SeenFence: 4}},
			{at: 1200 * time.Millisecond, input: electionInput{Ready: true, SeenFence: 4}},
			{at: 1300 * time.Millisecond, input: electionInput{Ready: true, SeenFence: 4, PendingFor: 150 * time.Millisecond}, fence: 7},
			{at: 8 * time.Second, input: electionInput{Ready: true, HeldFence: 30, SeenFence: 30}, fence: 7},
		},
		// The leader's process restarts immediately and is the first candidate, but it has no token and cannot allocate
		// one. The next candidate has one and takes over.
		"first candidate without a token": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, Position: leaderKnown, PeerFence: 5}},
			{at: time.Second, input: electionInput{Ready: true, Position: leaderKnown}},
			{at: 1100 * time.Millisecond, input: electionInput{Ready: true, Position: 1, PendingFor: 100 * time.Millisecond}},
			{at: 1600 * time.Millisecond, input: electionInput{Ready: true, Position: 1, PendingFor: 150 * time.Millisecond}, fence: 7},
		},
		// The store responds: another gateway holds the lease, and no message arrives from it. Only the lease decides
		// whether it is dead.
		"store responds": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, SeenFence: 4}},
			{at: time.Second, input: electionInput{Ready: true, SeenFence: 4, PendingFor: 5 * time.Millisecond}},
			{at: 2 * time.Second, input: electionInput{Ready: true, SeenFence: 4}},
		},
		// Of two candidates with spare tokens the one with the lower token goes first; the other one's remains usable
		// afterwards.
		"lower spare token first": {
			{at: 0, allocated: 9, input: electionInput{Ready: true, Position: leaderKnown, PeerFence: 5}},
			{at: time.Second, input: electionInput{Ready: true, Position: leaderKnown}},
			{at: 1100 * time.Millisecond, input: electionInput{Ready: true, Position: 2, LowerSpares: 1, PendingFor: 400 * time.Millisecond}},
			{at: 1250 * time.Millisecond, input: electionInput{Ready: true, Position: 0, LowerSpares: 1, PendingFor: 400 * time.Millisecond}},
			{at: 1300 * time.Millisecond, input: electionInput{Ready: true, Position: 2, LowerSpares: 1, PendingFor: 400 * time.Millisecond}, fence: 9},
		},
		// A spare token that was allocated before the last leader's would be refused by ranks that have that leader's
		// map.
		"spare older than the last leader's token": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, Position: leaderKnown, PeerFence: 9}},
			{at: time.Second, input: electionInput{Ready: true, Position: leaderKnown, PeerFence: 9}},
			{at: 1200 * time.Millisecond, input: firstCandidate},
			{at: 2 * time.Second, input: storeDown, allocate: true},
			{at: 3 * time.Second, allocated: 11, input: storeDown, fence: 11},
		},
		// A leader that was paused receives a digest of its successor and stops. It does not start again when the
		// successor dies.
		"a later leader": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, HeldFence: 2, SeenFence: 2}, fence: 7},
			{at: time.Second, input: electionInput{Ready: true, Position: leaderKnown, PeerFence: 8, SeenFence: 2}},
			{at: 1200 * time.Millisecond, input: electionInput{Ready: true, Position: 1, SeenFence: 2}},
		},
		// A later lease in the store has the same effect if the new leader's digests do not arrive.
		"a later lease": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, HeldFence: 2, SeenFence: 2}, fence: 7},
			{at: time.Second, input: electionInput{Ready: true, Position: leaderKnown, SeenFence: 3}},
		},
		// A standby took over a held group while this leader was slow. The leader still holds the lease and has a newer spare
		// token, but must not lead again before the group is released; it does once the standby no longer leads.
		"superseded while it holds the lease": {
			{at: 0, allocated: 7, input: electionInput{Ready: true, HeldFence: 2, SeenFence: 2}, fence: 7},
			{at: time.Second, allocated: 11, input: electionInput{Ready: true, Position: leaderKnown, HeldFence: 2, SeenFence: 2, PeerFence: 9, Superseded: true}},
			{at: 2 * time.Second, input: electionInput{Ready: true, Position: 1, HeldFence: 2, SeenFence: 2}, fence: 11},
		},
		// A gateway that leaves gives no more orders.
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

// Guards against a standby that takes over a held group and stops leading as soon as it contends for the lease, since it
// sees the replaced leader's lease for the first time; the group would stay held without a leader.
func TestReplacedLeadersLeaseDoesNotEndTakeover(t *testing.T) {
	now := time.Unix(0, 0)
	l := &leadership{}
	l.allocated(9)
	l.takeOver(0)
	l.ignoreLeasesUntil = now.Add(leaseLength)
	seen := electionInput{Ready: true, Position: -1, PeerFence: 5, SeenFence: 20}
	for _, at := range []time.Duration{0, 100 * time.Millisecond, leaseLength + time.Second} {
		if fence, _ := l.decide(now.Add(at), seen); fence != 9 {
			t.Fatalf("leads under %d after %v, want 9", fence, at)
		}
	}
	seen.SeenFence = 30
	if fence, _ := l.decide(now.Add(leaseLength+2*time.Second), seen); fence != 0 {
		t.Errorf("leads under %d although a later lease was seen", fence)
	}
}
