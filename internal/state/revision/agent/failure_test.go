package agent_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

const (
	settleTime = 10 * time.Second
	// deadLimit bounds acceptance while nodes are dead or isolated: StaleAfter, an eighth for clocks, and some beats.
	deadLimit = 7 * time.Second
)

func runCluster(t *testing.T, seed uint64, nodes int, f func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed)
		defer c.stop()
		c.startAll(nodes, "a", "b", "c")
		time.Sleep(settleTime)
		c.accepted("a-0", c.change("a-0", 0), time.Second)
		f(c)
	})
}

// Operators see a change pending for about five seconds, then accepted; callers of the isolated host are refused as
// "not run" after four. The host reaches neither the table nor any node, so it cannot hear of the change, and must have
// stopped before the change counts as accepted.
func TestIsolatedHostOnlyDelaysAcceptance(t *testing.T) {
	runCluster(t, 2, 3, func(c *cluster) {
		c.partition(true, "b-1")
		e := c.change("a-0", 1)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]string{"b-1"}, c.members["a-0"].agent.View().Pending); diff != "" {
			t.Fatal(diff)
		}
		c.accepted("a-0", e, deadLimit)
		c.wantFresh(false, "b-1")
		c.wantInForce(2)
		c.healPartition()
		time.Sleep(settleTime)
		c.wantFresh(true, "b-1")
		c.wantInForce(2)
	})
}

// A rack of two of five hosts fails at once: too few for a majority of their data centre, so they stop even if they
// still reach each other, and acceptance waits for seconds only.
func TestFailedRackOnlyDelaysAcceptance(t *testing.T) {
	runCluster(t, 3, 5, func(c *cluster) {
		c.partition(true, "b-1", "b-2")
		c.accepted("a-0", c.change("a-0", 1), deadLimit)
		c.wantFresh(false, "b-1", "b-2")
	})
}

// A data centre is cut off from the table and all others, but alive: its callers are served all the time, on the
// configuration that was accepted. Operators see the change pending with its nodes. When the data centre is back, the
// change is accepted at once.
func TestPartitionedDataCentreDelaysAcceptance(t *testing.T) {
	runCluster(t, 4, 3, func(c *cluster) {
		cut := c.names("b")
		c.partition(true, cut...)
		e := c.change("a-0", 1)
		for range 30 {
			time.Sleep(time.Second)
			c.wantFresh(true, cut...)
		}
		v := c.members["a-0"].agent.View()
		if v.Accepted >= e.GetSeq() || v.InForce.Revision() != 1 {
			t.Fatalf("accepted without the part that was cut off: %+v", v)
		}
		slices.Sort(cut)
		if diff := cmp.Diff(cut, v.Pending); diff != "" {
			t.Fatal(diff)
		}
		c.healPartition()
		c.accepted("a-0", e, 5*time.Second)
		time.Sleep(3 * time.Second)
		c.wantInForce(2)
		c.wantFresh(true, cut...)
	})
}

// The operator sees a change accepted within seconds although a data centre reaches no other: all reach the table, so
// the acknowledgements meet there.
func TestAcknowledgementsAreCombinedThroughTheTable(t *testing.T) {
	runCluster(t, 5, 3, func(c *cluster) {
		c.partition(false, c.names("b")...)
		time.Sleep(settleTime)
		c.accepted("a-0", c.change("a-0", 1), 5*time.Second)
		c.wantFresh(true, c.names("b")...)
		c.wantInForce(2)
	})
}

// Callers are served through an outage of the table of an hour. An operator's change is refused, and works afterwards.
func TestTableOutageDoesNotStopTraffic(t *testing.T) {
	runCluster(t, 6, 3, func(c *cluster) {
		c.store.SetFaults(standin.PartTable, standin.Faults{Outage: true})
		for range 3600 {
			time.Sleep(time.Second)
			for _, dc := range []string{"a", "b", "c"} {
				c.wantFresh(true, c.names(dc)...)
			}
		}
		_, err := c.members["a-0"].agent.Change(context.Background(), c.meta(1), addressTTLEdit(5000))
		var down *platform.UnavailableError
		if !errors.As(err, &down) {
			t.Fatalf("change during the outage: %v", err)
		}
		c.store.SetFaults(standin.PartTable, standin.Faults{})
		time.Sleep(settleTime)
		c.accepted("a-0", c.change("a-0", 1), time.Second)
	})
}

// All nodes are restarted one after the other during an outage. Each takes what a majority holds before it serves, so
// no caller is served on an older configuration than before, and the others serve on.
func TestRollingRestartDuringOutageKeepsRevision(t *testing.T) {
	runCluster(t, 7, 3, func(c *cluster) {
		c.store.SetFaults(standin.PartTable, standin.Faults{Outage: true})
		time.Sleep(settleTime)
		for _, name := range append(append(c.names("a"), c.names("b")...), c.names("c")...) {
			c.kill(name)
			c.start(name, "a-0", "b-0", "c-0")
			time.Sleep(settleTime)
			c.wantFresh(false, name) // acknowledgements of its former life may still count
			time.Sleep(3 * settleTime)
			c.wantFresh(true, name)
			c.wantInForce(1)
		}
	})
}

// All nodes restart at the same moment during an outage: nobody knows what is in force, so every request is refused as
// "not run" until the table is back. Serving on an old configuration would be worse than not serving.
func TestRestartOfAllNodesDuringOutageRefusesRequests(t *testing.T) {
	runCluster(t, 8, 2, func(c *cluster) {
		c.store.SetFaults(standin.PartTable, standin.Faults{Outage: true})
		all := append(append(c.names("a"), c.names("b")...), c.names("c")...)
		for _, name := range all {
			c.kill(name)
		}
		for _, name := range all {
			c.start(name, "a-0", "b-0", "c-0")
		}
		time.Sleep(settleTime)
		c.wantFresh(false, all...)
		c.store.SetFaults(standin.PartTable, standin.Faults{})
		time.Sleep(settleTime)
		c.wantFresh(true, all...)
		c.wantInForce(1)
	})
}

// A process is paused. While it is, and when it wakes, its requests are refused as "not run" from the deadline in its
// view on, though its control loop has not run; then it hears of the change that was accepted meanwhile.
func TestPausedNodeIsStaleOnResume(t *testing.T) {
	runCluster(t, 9, 3, func(c *cluster) {
		resume := c.members["b-1"].pause()
		c.accepted("a-0", c.change("a-0", 1), deadLimit)
		c.wantFresh(false, "b-1")
		time.Sleep(time.Minute)
		c.wantFresh(false, "b-1")
		resume()
		time.Sleep(settleTime)
		c.wantFresh(true, "b-1")
		c.wantInForce(2)
	})
}

// A host is gone for good and replaced by one of another name. Operators wait some seconds for the first change, not
// for later ones: once the silent node is known to be unable to serve, it is removed from the roster.
func TestDeadMemberIsRemoved(t *testing.T) {
	runCluster(t, 10, 3, func(c *cluster) {
		c.kill("b-1")
		time.Sleep(time.Minute)
		c.start("b-7")
		time.Sleep(settleTime)
		if took := c.accepted("a-0", c.change("a-0", 1), time.Second); took > time.Second {
			t.Fatalf("took %v", took)
		}
		roster := c.members["a-0"].agent.View().Newest.Roster
		if roster.Member("b-1") != nil || roster.Member("b-7") == nil {
			t.Fatalf("members %v", roster.Members())
		}
	})
}

// The table goes down between commit and acceptance. Every node holds the entry and cannot hear whether it is accepted,
// so each puts it in force by itself within seconds; when the table is back it is accepted.
func TestOutageAfterCommitPutsInForce(t *testing.T) {
	runCluster(t, 11, 3, func(c *cluster) {
		e := c.change("a-0", 1)
		c.store.SetFaults(standin.PartTable, standin.Faults{Outage: true})
		time.Sleep(4 * time.Second)
		c.wantInForce(2)
		c.wantFresh(true, c.names("b")...)
		c.store.SetFaults(standin.PartTable, standin.Faults{})
		c.accepted("a-0", e, 5*time.Second)
	})
}

// A node leaves on purpose: the next change does not wait for it at all.
func TestLeavingNodeDoesNotDelayAcceptance(t *testing.T) {
	runCluster(t, 12, 3, func(c *cluster) {
		c.members["c-2"].agent.Leave(context.Background())
		c.wantFresh(false, "c-2")
		c.kill("c-2")
		c.accepted("a-0", c.change("a-0", 1), time.Second)
	})
}
