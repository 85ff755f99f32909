package lockstep

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// restartedTask is a switch of a group of two ranks in their second and third life.
func restartedTask(now time.Time) Task {
	return Task{
		Epoch: 1, Ranks: 2, StartTimes: []int64{2, 3}, Version: 10, Fallback: 11, PrepareBy: now.Add(time.Hour),
		Placement: Placement{{{0}, {1}}}, Current: Placement{{{1}, {0}}},
	}
}

func preparedReports(born0, born1 int64) []*Report {
	return []*Report{{Epoch: 1, StartedAtMS: born0, Prepared: 10}, {Epoch: 1, StartedAtMS: born1, Prepared: 10}}
}

// acknowledgeAll acknowledges all orders until the switch is in a state.
func acknowledgeAll(t *testing.T, sw *Switch, now time.Time, orders []Order, until string) []Order {
	t.Helper()
	for string(sw.State()) != until {
		if len(orders) == 0 {
			t.Fatalf("stuck in %s", sw.State())
		}
		o := orders[0]
		orders = append(orders[1:], sw.OnReply(now, o, ReplyBegun)...)
	}
	return orders
}

// A rank starts again in the middle of a switch, before it has prepared the map, while the group is held, or while ranks are
// armed, and its group forms with the epoch that it had. What it acknowledged before holds no longer: a switch that counted on
// it would release the group with a rank that has nothing to switch to, and every caller of the group would wait or read
// from two maps. So the switch ends, as with a new epoch.
func TestSwitchFailsWhenRankRestarts(t *testing.T) {
	now := time.Unix(0, 0)
	for _, state := range []string{string(statePreparing), string(stateHolding), string(stateArming)} {
		t.Run(state, func(t *testing.T) {
			sw := NewSwitch(restartedTask(now))
			orders := sw.Start(now)
			if state != string(statePreparing) {
				orders = sw.OnReports(now, preparedReports(2, 3))
			}
			acknowledgeAll(t, sw, now, orders, state)
			sw.OnReports(now, preparedReports(2, 4))
			if !sw.Finished() || sw.Switched() {
				t.Fatalf("in state %s, switched %v; want it ended and not switched", sw.State(), sw.Switched())
			}
		})
	}
}

// Reports of the same lives, late ones among them, end nothing.
func TestSwitchContinuesWithSameIncarnations(t *testing.T) {
	now := time.Unix(0, 0)
	sw := NewSwitch(restartedTask(now))
	sw.Start(now)
	orders := sw.OnReports(now, preparedReports(2, 3))
	sw.OnReports(now, []*Report{nil, {Epoch: 1, StartedAtMS: 3}})
	acknowledgeAll(t, sw, now, orders, string(stateReleasing))
	if !sw.Switched() {
		t.Fatal("not switched")
	}
}

// A rank that starts again counts from 0. Taken for a rank that has counted on, what it counted since its start would be lost
// or compared with what an ended life counted, and the map would follow a demand that nobody has.
func TestCountsOfDifferentIncarnationsAreNotCompared(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	d := NewDemand(time.Hour)
	d.Observe(at(0), 0, Since{StartedAtMS: 1, Epoch: 1}, Counts{{100, 0}})
	d.Observe(at(1), 0, Since{StartedAtMS: 2, Epoch: 1}, Counts{{900, 50}})
	if d.Value() != nil {
		t.Fatalf("demand %v from counts of two lives", d.Value())
	}
	d.Observe(at(2), 0, Since{StartedAtMS: 2, Epoch: 1}, Counts{{910, 50}})
	if got := d.Total(); got < 9 || got > 10 {
		t.Fatalf("%v counts, want the 10 of the second life", got)
	}
}

// countingClient reports the same group for all but counts how often it is asked.
type countingClient struct {
	RankClient
	calls int
}

func (g *countingClient) Report(context.Context, *catalog.Upstream) (Report, error) {
	g.calls++
	return Report{Group: "g"}, nil
}

// An upstream starts again under its id, maybe as a rank of another group. It must be asked once more: taken for one of the
// group that it was of, a part of two groups' ranks would be switched together.
func TestNewIncarnationIsQueriedForItsGroup(t *testing.T) {
	g, ranks := NewGroupIndex(), &countingClient{}
	for _, born := range []int64{1, 1, 2} {
		g.Update(t.Context(), ranks, []*catalog.Upstream{{ID: "u", StartedAtMS: born}})
	}
	if ranks.calls != 2 {
		t.Fatalf("asked %d times for two lives", ranks.calls)
	}
}
