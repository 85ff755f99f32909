package admission

import (
	"testing"
	"time"
)

// Guards against a client that gets more than its share because its credit is renewed when its backlog, which lasted for long, is
// empty for a moment.
func TestLongBackloggedClientKeepsItsDebt(t *testing.T) {
	now := time.Unix(0, 0)
	c := newClassQueue(Class{Name: "a"}, time.Second)
	push := func() { c.push(&item{req: Request{Client: "x", Tokens: 1}, submitted: now}, 1) }
	push()
	for range 300 { // the backlog is never empty for 300 s
		now = now.Add(time.Second)
		push()
		c.pop(now)
	}
	c.pop(now)
	now = now.Add(time.Second)
	c.forget(now)
	if c.flows["x"] == nil {
		t.Fatal("the client was forgotten a second after its backlog had ended")
	}
	now = now.Add(2 * idleAfter)
	c.forget(now)
	if c.flows["x"] != nil {
		t.Fatal("the client is remembered for good")
	}
}
