package revision

import (
	"math/rand/v2"
	"testing"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// threeMemberNode returns the node of the given name in a data centre of three, with the roster held and accepted at now.
func threeMemberNode(name string, now time.Time) *Node {
	var self *Member
	add := &cardamomyokev1.RosterEdit{}
	for _, m := range []string{"a", "b", "c"} {
		add.Add = append(add.Add, &Member{Name: m, DataCentre: "dc", Address: m + ":1"})
		if m == name {
			self = add.Add[len(add.Add)-1]
		}
	}
	n := NewNode(self, "life-1", nil, Options{}, rand.New(rand.NewPCG(1, 1)), now)
	n.OnHead(now, HeadRead{
		Started: now, Head: &cardamomyokev1.Head{Committed: 1, Accepted: 1}, Entries: []*LogEntry{{Seq: 1, Roster: add}},
	})
	return n
}

func hasAccept(effects []Effect) bool {
	for _, e := range effects {
		if _, ok := e.(*Accept); ok {
			return true
		}
	}
	return false
}

// originOfThree returns the origin of a data centre of three, and the names of the other two nodes.
func originOfThree(now time.Time) (*Node, []string) {
	roster := NewRoster([]*Member{
		{Name: "a", DataCentre: "dc"}, {Name: "b", DataCentre: "dc"}, {Name: "c", DataCentre: "dc"},
	})
	var names []string
	for _, i := range roster.centres[0].order {
		names = append(names, roster.members[i].GetName())
	}
	return threeMemberNode(names[0], now), names[1:]
}

func (n *Node) receiveAckFrom(now time.Time, name string, nonce, staged uint64) []Effect {
	holds := newBitset(3)
	holds.set(n.roster().index[name])
	return n.OnAck(now, &Ack{From: name, Incarnation: name, Nonce: nonce, Staged: staged, Holds: holds, MaxStaged: staged})
}

// Guards against a restarted node and another one that could serve without a log entry forever (a counterexample found by
// Spin). A node acknowledges the log entry, restarts and recovers from nodes that lack it; then the last of those
// acknowledges it. With the old acknowledgement all nodes seem to hold the log entry, so an acknowledgement must count only
// while it is repeated.
func TestAcknowledgementExpires(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, repeated := range []bool{true, false} {
		n, others := originOfThree(start)
		n.OnCommitted(start, &LogEntry{Seq: 2})
		n.receiveAckFrom(start, others[0], 1, 2)
		late := start.Add(ackTTL + time.Second)
		if repeated {
			n.receiveAckFrom(late, others[0], 2, 2)
		}
		if got := hasAccept(n.receiveAckFrom(late, others[1], 1, 2)); got != repeated {
			t.Errorf("repeated %v: accepted %v", repeated, got)
		}
	}
}

// Guards against the other half of the same case: while an acknowledgement of its previous incarnation may count, a
// restarted node must neither rely on a majority's certificate nor count in a majority.
func TestRestartedNodeWaitsForOldAcknowledgementsToExpire(t *testing.T) {
	start := time.Unix(1000, 0)
	donor, _ := originOfThree(start)
	response := donor.CatchUpReply()
	st, err := FromProto(response.GetState())
	if err != nil {
		t.Fatal(err)
	}
	n := NewNode(&Member{Name: "a", DataCentre: "dc", Address: "a:1"}, "life-2", nil, Options{}, rand.New(rand.NewPCG(1, 2)), start)
	n.OnCatchUp(start, st, response.GetEntries(), response.GetAccepted())
	for _, tc := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, false}, {restartWait - time.Second, false}, {restartWait + time.Second, true}} {
		now := start.Add(tc.after)
		n.begin(now)
		n.mergeCert(quorumCert{seq: 1, basis: now, all: true})
		n.finish()
		if got := n.view.InForce != nil && now.Before(n.view.FreshUntil); got != tc.want {
			t.Errorf("%v after its start: fresh %v", tc.after, got)
		}
		r := &round{roster: n.roster(), alive: newBitset(3)}
		n.countSelf(r)
		if got := r.alive.count() == 1; got != tc.want {
			t.Errorf("%v after its start: counts in a majority %v", tc.after, got)
		}
	}
}
