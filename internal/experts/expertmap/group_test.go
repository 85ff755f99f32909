package expertmap

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// testFailer is the part of testing.T and rapid.T that the group needs.
type testFailer interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newEngine(next Step) *EngineModel {
	e := NewEngineModel(next)
	e.StepTime = 6 * time.Millisecond
	return e
}

type envelope struct {
	from, to Addr
	msg      Message
}

// group drives slots, engines and proposers by hand: every delivery, order and step is a call by the test.
type group struct {
	t               testFailer
	now             time.Time
	ranks           int
	slots           []*Slot
	engines         []*EngineModel
	orders          [][]Order
	proposers       map[ids.Node]*Proposer
	proposerNames   []ids.Node
	net             []envelope
	mapOfStep       map[Step]MapID
	acks            map[Ballot]map[Rank]Incarnation
	results         []Result
	lastIncarnation Incarnation
	// trace holds the events so far, for the message of a failing test.
	trace []string
}

func (g *group) tracef(format string, args ...any) {
	g.trace = append(g.trace, fmt.Sprintf(format, args...))
}

func (g *group) fail(format string, args ...any) {
	g.t.Helper()
	const maxLines = 80
	last := g.trace[max(0, len(g.trace)-maxLines):]
	g.t.Fatalf("%s%s\nafter\n%s", fmt.Sprintf(format, args...), g.describe(), strings.Join(last, "\n"))
}

func newGroup(t testFailer, ranks int) *group {
	g := &group{
		t: t, now: time.Unix(1_000_000, 0), ranks: ranks, orders: make([][]Order, ranks),
		proposers: map[ids.Node]*Proposer{}, mapOfStep: map[Step]MapID{}, acks: map[Ballot]map[Rank]Incarnation{},
	}
	for r := range ranks {
		g.slots = append(g.slots, nil)
		g.engines = append(g.engines, newEngine(0))
		g.start(r)
	}
	return g
}

// start starts a new incarnation of a slot. Messages that the old one sent may still arrive; its orders to the engine
// do not.
func (g *group) start(r int) {
	g.lastIncarnation += 10
	g.tracef("rank %d starts as incarnation %d", r, g.lastIncarnation)
	g.slots[r] = NewSlot(SlotConfig{Rank: Rank(r), Ranks: g.ranks, Incarnation: g.lastIncarnation, Timing: DefaultSlotTiming()})
	g.orders[r] = nil
	g.engines[r].Order = 0
	g.report(r)
}

func (g *group) report(r int) {
	g.slotEffects(r, g.slots[r].ReceiveReport(g.now, g.engines[r].EngineReport))
}

func (g *group) slotEffects(r int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			if ack, ok := e.Message.(Ack); ok {
				g.recordAck(ack)
			}
			g.net = append(g.net, envelope{Addr{Rank: Rank(r)}, e.To, e.Message})
		case Order:
			g.orders[r] = append(g.orders[r], e)
		case Alarm:
			g.fail("rank %d: alarm: %v", r, e.Err)
		}
	}
}

func (g *group) recordAck(a Ack) {
	if g.acks[a.Ballot] == nil {
		g.acks[a.Ballot] = map[Rank]Incarnation{}
	}
	g.acks[a.Ballot][a.Rank] = a.Incarnation
}

func (g *group) addProposer(name ids.Node) *Proposer {
	g.lastIncarnation++
	p := NewProposer(ProposerConfig{ID: uint64(g.lastIncarnation), Ranks: g.ranks, Timing: DefaultProposerTiming()})
	if _, old := g.proposers[name]; !old {
		g.proposerNames = append(g.proposerNames, name)
	}
	g.proposers[name] = p
	return p
}

func (g *group) proposerEffects(name ids.Node, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			g.net = append(g.net, envelope{Addr{Proposer: name}, e.To, e.Message})
		case Result:
			g.results = append(g.results, e)
		case Alarm:
			g.fail("proposer %s: alarm: %v", name, e.Err)
		}
	}
}

func (g *group) propose(name ids.Node, fence ids.Fence, to MapID) {
	effects, err := g.proposers[name].Propose(g.now, fence, to)
	if err != nil {
		return
	}
	g.proposerEffects(name, effects)
}

// deliver delivers a message; the caller decides whether it stays in the net to arrive once more.
func (g *group) deliver(e envelope) {
	g.tracef("%v to %v: %T%+v", e.from, e.to, e.msg, e.msg)
	if e.to.IsProposer() {
		if p := g.proposers[e.to.Proposer]; p != nil {
			g.proposerEffects(e.to.Proposer, p.Receive(g.now, e.msg))
		}
		return
	}
	r := int(e.to.Rank)
	g.slotEffects(r, g.slots[r].Receive(g.now, e.from, e.msg))
}

func (g *group) remove(i int) envelope {
	e := g.net[i]
	g.net = slices.Delete(g.net, i, i+1)
	return e
}

// executeOrder lets an engine execute its next order and report. The first engine to switch to a map must have every
// acknowledgement of its proposal.
func (g *group) executeOrder(r int) {
	o := g.orders[r][0]
	g.orders[r] = g.orders[r][1:]
	if o.Kind == OrderSwitch && !slices.ContainsFunc(g.engines, func(e *EngineModel) bool { return e.Map == o.To }) {
		g.checkCertificate(r, o)
	}
	g.engines[r].Apply(o)
	g.tracef("engine %d: %+v, now %+v", r, o, g.engines[r].EngineReport)
	g.report(r)
}

func (g *group) checkCertificate(r int, o Order) {
	g.t.Helper()
	held := g.slots[r].held
	if held == nil || held.To != o.To || len(g.acks[held.Ballot]) != g.ranks {
		g.fail("rank %d is the first to switch to %s, without a certificate", r, o.To)
	}
	for rank, inc := range g.acks[held.Ballot] {
		if held.Incarnations[rank] != inc {
			g.fail("rank %d switches, but rank %d acknowledged as %d, not %d", r, rank, inc, held.Incarnations[rank])
		}
	}
}

// step starts a rank's next step if its engine allows it and no rank is behind it.
func (g *group) step(r int) bool {
	e := g.engines[r]
	if !e.MayStart() {
		return false
	}
	m := e.MapAt(e.Next)
	for _, o := range g.engines {
		if o.Next < e.Next {
			return false
		}
	}
	if first, ok := g.mapOfStep[e.Next]; ok && first != m {
		g.fail("step %d runs under map %s on rank %d and under %s elsewhere", e.Next, m, r, first)
	}
	g.mapOfStep[e.Next] = m
	g.tracef("rank %d runs step %d under %s", r, e.Next, m)
	e.Next++
	return true
}

// runSteps delivers all messages, executes all orders and advances the clock until each rank has run that many more
// steps. It fails the test if the group does not get there.
func (g *group) runSteps(steps Step) {
	g.t.Helper()
	goal := steps
	for _, e := range g.engines {
		goal = max(goal, e.Next+steps)
	}
	const rounds = 2000
	for range rounds {
		if slices.MinFunc(g.engines, func(a, b *EngineModel) int { return int(a.Next) - int(b.Next) }).Next >= goal {
			return
		}
		g.round()
	}
	g.fail("the group does not make progress")
}

func (g *group) round() {
	for n := len(g.net); n > 0; n-- {
		g.deliver(g.remove(0))
	}
	for r := range g.ranks {
		for len(g.orders[r]) > 0 {
			g.executeOrder(r)
		}
		g.step(r)
		g.report(r)
	}
	g.now = g.now.Add(5 * time.Millisecond)
	for r := range g.ranks {
		g.slotEffects(r, g.slots[r].Tick(g.now))
	}
	for _, name := range g.proposerNames {
		g.proposerEffects(name, g.proposers[name].Tick(g.now))
	}
}

func (g *group) describe() string {
	var text string
	for r, s := range g.slots {
		e := g.engines[r]
		text += fmt.Sprintf("\nrank %d inc %d %s map %s from %d limit %d next %d held %v known %v",
			r, s.Incarnation(), s.State(), e.Map, e.Start, e.Limit, e.Next, s.held, s.known)
	}
	return text
}

// switchToFirstMap switches the group to its first map.
func (g *group) switchToFirstMap() {
	g.t.Helper()
	g.addProposer("boot")
	g.propose("boot", 1, MapID{1, "first"})
	g.runSteps(3)
	if len(g.results) != 1 || g.results[0].Err != nil {
		g.fail("switch to the first map: %+v %s", g.results, g.describe())
	}
	g.results = nil
}
