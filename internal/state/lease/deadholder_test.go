package lease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/lease"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

const (
	testLength = 3 * time.Second
	testTick   = 50 * time.Millisecond
)

// row simulates the table's rows of the duty.
type row struct {
	lease.Row
	next platform.Position
}

// execute carries out the effects of a holder immediately.
func (r *row) execute(now time.Time, h *lease.Contender, effects []lease.Effect) {
	for len(effects) > 0 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case *lease.Read:
			effects = append(effects, h.OnRead(now, h.CallID(), r.Row, true)...)
		case *lease.Write:
			effects = append(effects, h.OnWrite(now, h.CallID(), r.write(e))...)
		}
	}
}

func (r *row) write(w *lease.Write) lease.WriteResult {
	if w.Version != r.Version || w.Fence != r.Fence {
		return lease.WriteResult{Conflict: true}
	}
	r.next.Version++
	r.Lease, r.Version = w.Lease, r.next
	if w.NewFence {
		r.Fence = r.next
	}
	return lease.WriteResult{OK: true, Version: r.Version, Fence: r.Fence}
}

// holderSeeingOthersDead returns a holder that considers all other holders dead.
func holderSeeingOthersDead(name string, seed uint64) *lease.Contender {
	h := lease.NewContender("duty", name, ids.Incarnation(name), testLength, rand.New(rand.NewPCG(seed, 1)))
	h.SetHolderDead(func(holder string, _ ids.Incarnation) bool { return holder != name })
	return h
}

// Guards against two nodes that acquire a duty from each other again and again. They do not reach each other, but both
// reach the table, and each considers the other dead.
func TestPartitionedNodesDoNotDeposeEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &row{}
	a, b := holderSeeingOthersDead("a", 1), holderSeeingOthersDead("b", 2)
	r.execute(now, a, a.SetWanted(now, true))
	fences := map[platform.Position]bool{}
	for i := range 400 {
		now = now.Add(testTick)
		r.execute(now, a, a.Tick(now))
		if i == 20 {
			r.execute(now, b, b.SetWanted(now, true))
		}
		if i > 20 {
			r.execute(now, b, b.Tick(now))
		}
		fences[r.Fence] = true
	}
	if len(fences) > 2 {
		t.Errorf("the holder changed %d times", len(fences)-1)
	}
}

// Guards against a dead holder that is replaced only when its lease expires.
func TestDeadHolderIsReplacedEarly(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &row{}
	a, b := holderSeeingOthersDead("a", 1), holderSeeingOthersDead("b", 2)
	r.execute(now, a, a.SetWanted(now, true))
	for range 30 {
		now = now.Add(testTick)
		r.execute(now, a, a.Tick(now))
	}
	died := now
	r.execute(now, b, b.SetWanted(now, true))
	for !b.Held().ValidAt(now) {
		now = now.Add(testTick)
		r.execute(now, b, b.Tick(now))
	}
	if took := now.Sub(died); took > testLength/2 {
		t.Errorf("replaced after %v", took)
	}
}
