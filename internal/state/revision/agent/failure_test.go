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
	// deadLimit is the maximum time until acceptance while nodes are dead or isolated: StaleAfter, an eighth of it for
	// differing clock rates, and some heartbeats.
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

// Guards against a change that is accepted while an isolated host still takes work without it, or never. One host reaches
// neither the table nor any node, so it cannot learn of the change: operators see the change pending for about five
// seconds, then accepted; the host refuses its callers as "not run" after four seconds.
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

// Guards against acceptance that waits for long after a rack with two of the five hosts of a data centre has failed. Two
// are no majority of their data centre, so they stop even if they still reach each other, and acceptance is delayed by
// seconds only.
func TestFailedRackOnlyDelaysAcceptance(t *testing.T) {
	runCluster(t, 3, 5, func(c *cluster) {
		c.partition(true, "b-1", "b-2")
		c.accepted("a-0", c.change("a-0", 1), deadLimit)
		c.wantFresh(false, "b-1", "b-2")
	})
}

// Guards against refused callers, and against an accepted change that a live node lacks, when a data centre is partitioned
// from the table and all other data centres. It serves its callers all the time, on the accepted configuration, and
// operators see the change pending on its nodes. After the partition the change is accepted within seconds.
func TestPartitionedDataCentreDelaysAcceptance(t *testing.T) {
	runCluster(t, 4, 3, func(c *cluster) {
		isolated := c.names("b")
		c.partition(true, isolated...)
		e := c.change("a-0", 1)
		for range 30 {
			time.Sleep(time.Second)
			c.wantFresh(true, isolated...)
		}
		v := c.members["a-0"].agent.View()
		if v.Accepted >= e.GetSeq() || v.InForce.Revision() != 1 {
			t.Fatalf("accepted without the partitioned data centre: %+v", v)
		}
		slices.Sort(isolated)
		if diff := cmp.Diff(isolated, v.Pending); diff != "" {
			t.Fatal(diff)
		}
		c.healPartition()
		c.accepted("a-0", e, 5*time.Second)
		time.Sleep(3 * time.Second)
		c.wantInForce(2)
		c.wantFresh(true, isolated...)
	})
}

// Guards against a change that stays pending because a data centre reaches no other one, although all reach the table,
// through which their acknowledgements are combined. The change is accepted within seconds.
func TestAcknowledgementsAreCombinedThroughTheTable(t *testing.T) {
	runCluster(t, 5, 3, func(c *cluster) {
		c.partition(false, c.names("b")...)
		time.Sleep(settleTime)
		c.accepted("a-0", c.change("a-0", 1), 5*time.Second)
		c.wantFresh(true, c.names("b")...)
		c.wantInForce(2)
	})
}

// Guards against refused callers during a table outage of an hour. An operator's change is refused during the outage and
// accepted after it.
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

// Guards against a caller that is served on an older configuration than before, when all nodes are restarted one after the
// other during a table outage. Each must adopt the state that a majority holds before it serves.
func TestRollingRestartDuringOutageKeepsRevision(t *testing.T) {
	runCluster(t, 7, 3, func(c *cluster) {
		c.store.SetFaults(standin.PartTable, standin.Faults{Outage: true})
		time.Sleep(settleTime)
		for _, name := range append(append(c.names("a"), c.names("b")...), c.names("c")...) {
			c.kill(name)
			c.start(name, "a-0", "b-0", "c-0")
			time.Sleep(settleTime)
			c.wantFresh(false, name) // acknowledgements of its previous incarnation may still count
			time.Sleep(3 * settleTime)
			c.wantFresh(true, name)
			c.wantInForce(1)
		}
	})
}

// Guards against requests served on an old configuration after all nodes restart at the same moment during a table outage,
// so that no node knows which configuration is in force. Every request must be refused as "not run" until the table is
// back.
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

// Guards against a process that is paused while a change is accepted and takes work on the old configuration when it
// resumes. After the deadline in its view it must refuse requests as "not run", although its control loop has not run; then
// it learns of the change.
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

// Guards against a dead host, replaced by one of another name, that delays each later change. Once the dead node is known
// to be unable to serve, it must be removed from the roster.
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

// Guards against a log entry that no node puts in force because the table goes down between commit and acceptance. Every
// node holds the log entry but cannot learn whether it is accepted, so each must put it in force by itself within seconds.
// When the table is back, the log entry is accepted.
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

// Guards against a change that waits for a node that left the roster on shutdown.
func TestLeavingNodeDoesNotDelayAcceptance(t *testing.T) {
	runCluster(t, 12, 3, func(c *cluster) {
		c.members["c-2"].agent.Leave(context.Background())
		c.wantFresh(false, "c-2")
		c.kill("c-2")
		c.accepted("a-0", c.change("a-0", 1), time.Second)
	})
}
