package dispatch_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
)

// A group is closed, and requests come in. Only the latest may wait, as they may still be in time when it opens; whoever is
// pushed out for them is told so at once and not two seconds later, with a time to come back. More urgent ones stay.
func TestFewWaitForAClosedGroup(t *testing.T) {
	p := dispatch.NewPool(dispatch.Options{Fill: 1, LateFill: 1, HoldFill: 0.5}, rand.New(rand.NewPCG(1, 2)))
	p.SetUpstreams(upstreams(1, 4), start)
	p.SetClosed(true, at(0))
	var tickets []*dispatch.Ticket
	for i, priority := range []int{0, 1, 1, 1, 2} {
		r := timed(at(time.Duration(i) * time.Millisecond))
		r.Priority = priority
		tickets = append(tickets, p.Offer(r, r.Arrived))
	}
	settled := p.Tick(at(5 * time.Millisecond))
	var refused []bool
	for _, ticket := range tickets {
		var full *dispatch.OverloadedError
		refused = append(refused, errors.As(ticket.Err(), &full) && full.RetryAfter > 0)
	}
	// Two may wait: the most urgent, and the latest of the next; the least urgent is refused as it comes.
	if diff := cmp.Diff([]bool{false, true, true, false, true}, refused); diff != "" || len(settled) != 2 || p.Waiting() != 2 {
		t.Fatalf("%d settled, %d wait: %s", len(settled), p.Waiting(), diff)
	}
	if placed := p.SetClosed(false, at(6*time.Millisecond)); len(placed) != 2 {
		t.Fatalf("%d placed when it opens, want 2", len(placed))
	}
}

// openingSeeds is over how many seeds the load of an opening is played.
const openingSeeds = 40

// opening plays the load of a group that breaks off under 80 requests a second and forms again two seconds later, with all
// that came meanwhile at nine gateways. It returns how many streams were in time, late and refused over all seeds.
func opening(off ...dispatch.Mechanism) (onTime, late, refused int) {
	for seed := range uint64(openingSeeds) {
		g := newGroupReplay(seed, 9, 16, 12, 100*time.Millisecond, true, off...)
		g.firstMap, g.firstMapSlow, g.stall = 350*time.Millisecond, 2.4, 1500*time.Millisecond
		g.play(80, 10*time.Second, outage{3 * time.Second, 2 * time.Second})
		onTime, late, refused = onTime+g.onTime, late+g.late, refused+g.refused
	}
	return onTime, late, refused
}

// A group forms again after two seconds. If all that came meanwhile has waited, those who ask after that are late for it.
func TestABoundedHoldLeavesMoreInTime(t *testing.T) {
	with, _, _ := opening()
	without, _, _ := opening(dispatch.BoundedHold)
	if t.Logf("in time with it %d, without %d", with, without); with <= without {
		t.Fatalf("%d in time, %d without", with, without)
	}
}
