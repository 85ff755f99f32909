package expertmap

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
)

// replay drives the real code along a counterexample of a mutant of spec/expertmap.pml. Each line of a trace names a
// transition of the specification. Where the mutant lacks a safeguard, the real code must not follow the trace.
type replay struct {
	*group
	row bool
	// lateOrders keeps the engines from executing orders, for the mutant that acknowledges before its engine has
	// confirmed the limit.
	lateOrders bool
	firstStep  Step
	// incarnations holds, by rank, the incarnations that the specification numbers from 0.
	incarnations [][]Incarnation
	proposals    [2]Proposal
}

func newReplay(t *testing.T) *replay {
	r := &replay{group: newGroup(t, 3)}
	r.switchToFirstMap()
	for _, e := range r.engines {
		r.firstStep = max(r.firstStep, e.Next)
	}
	for i, e := range r.engines {
		for e.Next < r.firstStep {
			r.step(i)
		}
		r.incarnations = append(r.incarnations, []Incarnation{r.slots[i].Incarnation()})
	}
	r.net = nil
	return r
}

func (r *replay) apply(text string) {
	name, rest, _ := strings.Cut(text, " ")
	var args []int
	for _, f := range strings.Fields(rest) {
		n, err := strconv.Atoi(f)
		if err != nil {
			r.t.Fatalf("line %q: %v", text, err)
		}
		args = append(args, n)
	}
	r.tracef("> %s", text)
	switch name {
	case "row":
		r.row = true
	case "stuck":
	case "propose":
		r.proposal(args[0], args[1:])
	case "step":
		r.report(args[0])
		r.step(args[0])
	case "cap":
		r.cap(args[0], args[1])
	case "ack":
		r.report(args[0])
	case "refuse":
		r.refuse(args[0], args[1])
	case "refusedone", "resolve":
		r.requestCap(args[0], args[1])
	case "certificate":
		r.deliverAll(args[0], isAck)
	case "switched", "recovered":
		r.executeOrders(args[0])
	case "committed":
		r.committed(args[0])
	case "abort":
		r.deliverAll(args[0], isAbort)
		r.executeOrders(args[0])
	case "crash":
		r.start(args[0])
		r.incarnations[args[0]] = append(r.incarnations[args[0]], r.slots[args[0]].Incarnation())
	case "answer":
		r.answer(args[0], args[1])
	default:
		r.t.Fatalf("unknown line %q", text)
	}
}

func (r *replay) proposal(p int, incarnations []int) {
	prop := Proposal{
		Ballot: Ballot{2, uint64(p) + 1, 1}, From: MapID{1, "first"}, To: MapID{2, fmt.Sprint("of-", p)}, Start: r.firstStep + 1,
	}
	if r.row && p == 1 {
		prop.From, prop.To, prop.Start = MapID{2, "of-0"}, MapID{3, "of-1"}, r.firstStep+2
	}
	for rank, n := range incarnations {
		prop.Incarnations = append(prop.Incarnations, r.incarnations[rank][n])
	}
	r.proposals[p] = prop
}

// executeOrders lets an engine execute every order and report.
func (r *replay) executeOrders(i int) {
	for len(r.orders[i]) > 0 {
		r.executeOrder(i)
	}
}

func (r *replay) stage(i int, m MapID) {
	request := StageRequest{Ballot: Ballot{Fence: 2}, Map: m}
	r.slotEffects(i, r.slots[i].Receive(r.now, Addr{Proposer: "a"}, request))
	r.executeOrders(i)
}

func (r *replay) requestCap(i, p int) {
	from := Addr{Rank: Rank((i + 1) % r.ranks)}
	r.slotEffects(i, r.slots[i].Receive(r.now, from, CapRequest{r.proposals[p]}))
}

// cap delivers the cap request. The engine executes the orders, but its slot gets no report before the line "ack".
func (r *replay) cap(i, p int) {
	r.report(i)
	r.stage(i, r.proposals[p].To)
	r.requestCap(i, p)
	if r.lateOrders {
		return
	}
	for _, o := range r.orders[i] {
		r.engines[i].Apply(o)
	}
	r.orders[i] = nil
}

// refuse makes the slot refuse the proposal, because it has staged another map.
func (r *replay) refuse(i, p int) {
	r.stage(i, MapID{r.proposals[p].To.Version, "other"})
	r.requestCap(i, p)
}

// deliverAll delivers every matching message to a slot, whatever its destination: in the specification all ranks can
// read all messages.
func (r *replay) deliverAll(i int, wanted func(Message) bool) {
	for _, e := range r.net {
		if wanted(e.msg) {
			r.slotEffects(i, r.slots[i].Receive(r.now, e.from, e.msg))
		}
	}
}

func isAck(m Message) bool { _, ok := m.(Ack); return ok }

func isAbort(m Message) bool {
	if o, ok := m.(Outcome); ok {
		return !o.Committed
	}
	_, ok := m.(Refusal)
	return ok
}

func isCommitted(m Message) bool { o, ok := m.(Outcome); return ok && o.Committed }

func (r *replay) committed(i int) {
	for p := range r.proposals {
		for k := range r.ranks {
			if k != i && r.slots[i].holds(r.proposals[p].Ballot) {
				r.requestCap(k, p)
			}
		}
	}
	r.deliverAll(i, isCommitted)
}

func (r *replay) answer(k, i int) {
	requester := r.slots[i].Incarnation()
	r.slotEffects(k, r.slots[k].Receive(r.now, Addr{Rank: Rank(i)}, Recover{Rank(i), requester}))
	r.deliverAll(i, func(m Message) bool {
		a, ok := m.(RecoverReply)
		return ok && a.Requester == requester && a.Rank == Rank(k)
	})
}

// Guards against code that lacks a safeguard of the specification. Each mutant of the specification lacks one, and Spin
// has found how a step then runs under two maps or the group waits forever. The real code goes through the same events:
// no step may run under two maps, the first rank to switch must have the certificate, and the group must continue in
// the end.
func TestSpecificationCounterexamples(t *testing.T) {
	var plan struct {
		Runs []struct{ Name, Mutant string } `yaml:"runs"`
	}
	text, err := os.ReadFile("../../../spec/expertmap.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.Unmarshal(text, &plan); err != nil {
		t.Fatal(err)
	}
	for _, run := range plan.Runs {
		if run.Mutant == "" {
			continue
		}
		t.Run(run.Name, func(t *testing.T) {
			trace, err := os.ReadFile(filepath.Join("testdata", "expertmap-"+run.Name+".trace"))
			if err != nil {
				t.Fatalf("make model-traces writes it: %v", err)
			}
			r := newReplay(t)
			r.lateOrders = run.Name == "ack-first"
			for line := range strings.Lines(string(trace)) {
				r.apply(strings.TrimSpace(line))
			}
			for p := range r.proposals {
				for i := range r.ranks {
					if r.proposals[p].Incarnations != nil {
						r.net = append(r.net, envelope{Addr{Proposer: "a"}, Addr{Rank: Rank(i)}, CapRequest{r.proposals[p]}})
					}
				}
			}
			r.runSteps(4)
		})
	}
}
