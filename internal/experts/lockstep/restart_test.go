package lockstep

import (
	"context"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// restartedTask returns the task of switching two ranks that started at 2 and 3.
func restartedTask(now time.Time) Task {
	return Task{
		Epoch: 1, Ranks: 2, StartTimes: []int64{2, 3}, Version: 10, Fallback: 11, PrepareBy: now.Add(time.Hour),
		Placement: Placement{{{0}, {1}}}, Current: Placement{{{1}, {0}}},
		Passes: &HeldPasses{loaded: true, last: 1},
	}
}

func preparedReports(started0, started1 int64) []*Report {
	return []*Report{{Epoch: 1, StartedAtMS: started0, Prepared: 10, Pass: 1}, {Epoch: 1, StartedAtMS: started1, Prepared: 10, Pass: 1}}
}

// acknowledgeAll acknowledges all orders until the switch reaches a state.
func acknowledgeAll(t *testing.T, sw *Switch, now time.Time, orders []Order, until string) []Order {
	t.Helper()
	for string(sw.State()) != until {
		if len(orders) == 0 {
			t.Fatalf("stuck in %s", sw.State())
		}
		o := orders[0]
		orders = append(orders[1:], sw.OnReply(now, o, ReplyAccepted)...)
	}
	return orders
}

// Guards against a group that is released with a rank that has no map to switch to; callers would wait or get output
// from two maps. The rank restarts during a switch (before it has prepared the map, while the group is held, or while
// ranks are armed), its group forms with the same epoch, and its acknowledgement is void. The switch must fail as with
// a new epoch.
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
				t.Fatalf("in state %s, switched %v; want it finished and not switched", sw.State(), sw.Switched())
			}
		})
	}
}

// Guards against a switch that is ended by reports with unchanged start times, including late ones.
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

// Guards against a map that follows a demand that does not exist. A rank that restarts counts from 0; if its counts
// were compared with those of its previous incarnation, the new counts would be lost or distorted.
func TestCountsOfDifferentIncarnationsAreNotCompared(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	d := NewDemand(time.Hour)
	d.Observe(at(0), 0, CountStart{StartedAtMS: 1, Epoch: 1}, Counts{{100, 0}})
	d.Observe(at(1), 0, CountStart{StartedAtMS: 2, Epoch: 1}, Counts{{900, 50}})
	if d.Value() != nil {
		t.Fatalf("demand %v from counts of two incarnations", d.Value())
	}
	d.Observe(at(2), 0, CountStart{StartedAtMS: 2, Epoch: 1}, Counts{{910, 50}})
	if got := d.Total(); got < 9 || got > 10 {
		t.Fatalf("%v counts, want the 10 of the second incarnation", got)
	}
}

// countingClient reports the same group for all ranks and counts the calls.
type countingClient struct {
	RankClient
	calls int
}

func (g *countingClient) Report(context.Context, *catalog.Upstream) (Report, error) {
	g.calls++
	return Report{Group: "g"}, nil
}

// Guards against a switch that includes ranks of two groups. An upstream may restart under its id as a rank of another
// group, so its group must be read again.
func TestNewIncarnationIsQueriedForItsGroup(t *testing.T) {
	g, ranks := NewGroupIndex(), &countingClient{}
	for _, started := range []int64{1, 1, 2} {
		g.Update(t.Context(), ranks, []*catalog.Upstream{{ID: "u", StartedAtMS: started}})
	}
	if ranks.calls != 2 {
		t.Fatalf("%d reads for two incarnations", ranks.calls)
	}
}
