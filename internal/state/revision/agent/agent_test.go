package agent_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a change that takes longer than a second to be accepted, or is not in force on every node, while all
// nodes and the table are healthy.
func TestChangeIsInForceOnAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		defer c.stop()
		c.startAll(3, "a", "b", "c")
		time.Sleep(10 * time.Second)
		e := c.change("a-0", 0)
		took := c.accepted("a-0", e, 5*time.Second)
		if took > time.Second {
			t.Fatalf("took %v", took)
		}
		time.Sleep(time.Second)
		c.wantFresh(true, c.names("a")...)
		c.wantFresh(true, c.names("b")...)
		c.wantFresh(true, c.names("c")...)
		c.wantInForce(1)
	})
}
