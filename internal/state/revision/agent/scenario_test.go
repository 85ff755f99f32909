package agent_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision"
	"github.com/cardamomyoke/cardamomyoke/internal/state/revision/store"
	standin "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

const (
	objects   = 3
	operators = 4
	never     = int64(1) << 62
)

// seeds is how many trials each scenario gets: `make test` runs one with the race detector, which takes ten times as
// long, and `make test-config` three without.
var seeds = flag.Int("seeds", 1, "trials of each scenario")

// input is one operation on one object's register.
type input struct {
	object int
	write  bool
	value  uint32
}

// register is the sequential specification: a read returns the last value written.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, objects)
		for _, op := range history {
			o := op.Input.(input).object
			parts[o] = append(parts[o], op)
		}
		return parts
	},
	Init: func() any { return uint32(0) },
	Step: func(state, in, out any) (bool, any) {
		if i := in.(input); i.write {
			return true, i.value
		}
		return state == out, state
	},
}

// trial is one run of a scenario: operators that race, and checks that go on all the time.
type trial struct {
	*cluster
	rand  *rand.Rand
	done  chan struct{}
	clock atomic.Int64

	mu         sync.Mutex
	history    []porcupine.Operation
	changes    int
	conflicts  int
	unknown    int
	refused    int
	violations []string
	acceptedAt []moment
	inForce    map[string]uint64
	names      int
}

// moment says when the checks first saw an entry accepted.
type moment struct {
	seq uint64
	at  time.Time
}

func (tr *trial) violate(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.violations) < 20 {
		tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
	}
}

// snapshot returns the members by name, in order; scenarios replace them while operators and checks run.
func (tr *trial) snapshot() []*member {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var out []*member
	for _, m := range tr.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *member) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

func (tr *trial) change(at *member, rng *rand.Rand, value uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	base, err := at.agent.Store().Committed(ctx, nil)
	if err != nil {
		return
	}
	in := input{rng.IntN(objects), true, value}
	tr.mu.Lock()
	meta := tr.meta(base.Revision())
	tr.mu.Unlock()
	call := tr.clock.Add(1)
	_, err = at.agent.Change(ctx, meta, func(*revision.State) ([]*cardamomyokev1.Edit, error) {
		return []*cardamomyokev1.Edit{clientEdit(base.Configuration(), in)}, nil
	})
	ret := tr.clock.Add(1)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var race *store.RaceError
	var down *platform.UnavailableError
	var unknown *store.UnknownError
	switch {
	case err == nil:
		tr.changes++
	case errors.As(err, &unknown):
		tr.unknown++
		ret = never // it may take effect at any time from the call on
	case errors.As(err, &race):
		tr.conflicts++
		return
	case errors.As(err, &down):
		tr.refused++
		return
	default:
		tr.refused++
		return
	}
	tr.history = append(tr.history, porcupine.Operation{Input: in, Call: call, Return: ret})
}

func clientEdit(c *cardamomyokev1.Configuration, in input) *cardamomyokev1.Edit {
	name := fmt.Sprintf("c%d", in.object)
	e := &cardamomyokev1.Edit{
		Action: cardamomyokev1.EditAction_EDIT_ACTION_CREATE,
		Object: &cardamomyokev1.Edit_Client{Client: &cardamomyokev1.ClientAccount{Name: name, Share: 1, RequestsPerS: in.value}},
	}
	if slices.ContainsFunc(c.GetClients(), func(v *cardamomyokev1.ClientAccount) bool { return v.GetName() == name }) {
		e.Action = cardamomyokev1.EditAction_EDIT_ACTION_CHANGE
	}
	return e
}

func (tr *trial) read(at *member) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	call := tr.clock.Add(1)
	st, err := at.agent.Store().Committed(ctx, nil)
	ret := tr.clock.Add(1)
	if err != nil {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for o := range objects {
		value := uint32(0)
		for _, c := range st.Configuration().GetClients() {
			if c.GetName() == fmt.Sprintf("c%d", o) {
				value = c.GetRequestsPerS()
			}
		}
		tr.history = append(tr.history, porcupine.Operation{Input: input{object: o}, Output: value, Call: call, Return: ret})
	}
}

// operate lets one operator change and read at random nodes until the trial is done.
func (tr *trial) operate(id int, rng *rand.Rand) {
	for i := uint32(1); ; i++ {
		select {
		case <-tr.done:
			return
		case <-time.After(time.Duration(rng.IntN(3000)) * time.Millisecond):
		}
		members := tr.snapshot()
		at := members[rng.IntN(len(members))]
		if rng.IntN(4) == 0 {
			tr.read(at)
			continue
		}
		tr.change(at, rng, uint32(id)*100_000+i)
	}
}

// check looks at every node each few milliseconds.
func (tr *trial) check() {
	var head cardamomyokev1.Head
	for {
		select {
		case <-tr.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		var now cardamomyokev1.Head
		if err := proto.Unmarshal(tr.store.Peek("config/head").Value, &now); err != nil {
			tr.violate("head row: %v", err)
		}
		tr.checkHead(&head, &now)
		head.Committed, head.Accepted = now.GetCommitted(), now.GetAccepted()
		for _, m := range tr.snapshot() {
			tr.checkNode(m, head.GetAccepted())
		}
	}
}

func (tr *trial) checkHead(before, now *cardamomyokev1.Head) {
	if now.GetCommitted() < before.GetCommitted() || now.GetAccepted() < before.GetAccepted() {
		tr.violate("head goes back from %v to %v", before, now)
	}
	if now.GetAccepted() == before.GetAccepted() {
		return
	}
	tr.acceptedAt = append(tr.acceptedAt, moment{now.GetAccepted(), time.Now()})
	for _, m := range tr.snapshot() {
		if v := m.agent.View(); v.Fresh(time.Now()) && v.Staged < now.GetAccepted() {
			tr.violate("%s takes work without entry %d, which is accepted", m.name, now.GetAccepted())
		}
	}
}

func (tr *trial) checkNode(m *member, accepted uint64) {
	v := m.agent.View()
	now := time.Now()
	if !v.Fresh(now) {
		return
	}
	for i := len(tr.acceptedAt) - 1; i >= 0; i-- {
		if a := tr.acceptedAt[i]; now.Sub(a.at) > stale {
			if v.InForce.Seq < a.seq {
				tr.violate("%s takes work on entry %d, %v after %d was accepted", m.name, v.InForce.Seq, now.Sub(a.at), a.seq)
			}
			break
		}
	}
	if v.InForce.Seq < tr.inForce[m.name] {
		tr.violate("%s goes back from entry %d, accepted and in force before, to %d", m.name, tr.inForce[m.name], v.InForce.Seq)
	}
	if v.InForce.Seq <= accepted {
		tr.inForce[m.name] = v.InForce.Seq
	}
}

// settleDown mends everything and checks that the system works: one more change is accepted, in force everywhere, and
// every node takes work.
func (tr *trial) settleDown() {
	tr.mu.Lock()
	tr.store.SetFaults(standin.PartTable, standin.Faults{Delay: 4 * time.Millisecond})
	tr.heal()
	tr.mu.Unlock()
	time.Sleep(time.Minute)
	close(tr.done)
	time.Sleep(time.Minute)
	members := tr.snapshot()
	for _, m := range members {
		if !m.agent.Fresh(time.Now()) {
			tr.violate("%s takes no work a minute after the last fault: %+v", m.name, m.agent.View())
		}
	}
	at := members[0].agent
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	st, err := at.Store().Committed(ctx, nil)
	if err != nil {
		tr.violate("after the last fault: %v", err)
		return
	}
	e, err := at.Change(ctx, tr.meta(st.Revision()), keep(5000))
	if err != nil {
		tr.violate("change after the last fault: %v", err)
		return
	}
	if v := at.Wait(ctx, e.GetSeq()); v.Accepted < e.GetSeq() {
		tr.violate("change after the last fault is not accepted, pending %v", v.Pending)
	}
}

func runTrial(t *testing.T, seed uint64, faults func(*trial)) *trial {
	var tr *trial
	synctest.Test(t, func(t *testing.T) {
		tr = &trial{
			cluster: newCluster(t, seed), rand: rand.New(rand.NewPCG(seed, 7)), done: make(chan struct{}), inForce: map[string]uint64{},
		}
		tr.startAll(4, "a", "b", "c")
		time.Sleep(settle)
		e := tr.cluster.change("a-0", 0)
		tr.accepted("a-0", e, 5*time.Second)
		var wg sync.WaitGroup
		for id := range operators {
			wg.Go(func() { tr.operate(id+1, rand.New(rand.NewPCG(seed, uint64(id)))) })
		}
		wg.Go(tr.check)
		faults(tr)
		tr.settleDown()
		wg.Wait()
		tr.stop()
	})
	if !porcupine.CheckOperations(register, tr.history) {
		tr.violate("history of %d operations is not linearizable", len(tr.history))
	}
	return tr
}

// steps lets time pass in random steps and makes trouble at each.
func (tr *trial) steps(n int, step func()) {
	for range n {
		tr.mu.Lock()
		step()
		tr.mu.Unlock()
		time.Sleep(time.Duration(500+tr.rand.IntN(8000)) * time.Millisecond)
	}
}

func (tr *trial) loseAnswers() {
	tr.store.SetFaults(standin.PartTable, standin.Faults{
		Delay: time.Duration(tr.rand.IntN(300)) * time.Millisecond, LoseAnswers: tr.rand.IntN(6),
		LateWrites: tr.rand.IntN(3), LateBy: time.Duration(tr.rand.IntN(10_000)) * time.Millisecond,
	})
}

func (tr *trial) outage() {
	f := standin.Faults{Delay: 4 * time.Millisecond, Outage: tr.rand.IntN(2) == 0}
	tr.store.SetFaults(standin.PartTable, f)
}

func (tr *trial) pauseOne() {
	names := tr.sorted()
	m := tr.members[names[tr.rand.IntN(len(names))]]
	if time.Now().Before(m.resumes) {
		return
	}
	d := time.Duration(tr.rand.IntN(15_000)) * time.Millisecond
	m.resumes = time.Now().Add(d + time.Second)
	time.AfterFunc(d, m.pause())
}

func (tr *trial) sorted() []string {
	var names []string
	for name := range tr.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (tr *trial) isolateSome() {
	names := tr.sorted()
	switch tr.rand.IntN(4) {
	case 0:
		tr.heal()
	case 1:
		names = tr.cluster.names([]string{"a", "b", "c"}[tr.rand.IntN(3)])
		tr.isolate(tr.rand.IntN(2) == 0, names...)
	default:
		tr.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		tr.isolate(tr.rand.IntN(2) == 0, names[:1+tr.rand.IntN(5)]...)
	}
}

// replaceOne replaces the node that has run for longest in turn, by one of the same or another name, with or without
// leaving first.
func (tr *trial) replaceOne() {
	names := tr.sorted()
	name := names[tr.names%len(names)]
	tr.names++
	next := name
	if tr.rand.IntN(2) == 0 {
		next = fmt.Sprintf("%s-r%d", dataCentre(name), tr.names)
	}
	if time.Now().Before(tr.members[name].resumes) {
		return // its loop cannot end while it is paused
	}
	tr.kill(name)
	tr.start(next, names...)
}

func TestScenarios(t *testing.T) {
	scenarios := []struct {
		name   string
		faults func(*trial)
	}{
		{"racing operators", func(tr *trial) { tr.steps(20, func() {}) }},
		{"lost answers and late writes", func(tr *trial) { tr.steps(20, tr.loseAnswers) }},
		{"outages before, during and after a put", func(tr *trial) { tr.steps(20, tr.outage) }},
		{"paused nodes", func(tr *trial) { tr.steps(20, tr.pauseOne) }},
		{"isolated nodes and data centres", func(tr *trial) { tr.steps(20, tr.isolateSome) }},
		{"rolling replacement of every node", func(tr *trial) { tr.steps(30, tr.replaceOne) }},
		{"rolling replacement during outages", func(tr *trial) {
			tr.steps(30, func() { tr.replaceOne(); tr.outage() })
		}},
		{"all of it at once", func(tr *trial) {
			all := []func(){tr.loseAnswers, tr.outage, tr.pauseOne, tr.isolateSome, tr.replaceOne}
			tr.steps(40, func() { all[tr.rand.IntN(len(all))]() })
		}},
	}
	total := 0
	for _, sc := range scenarios {
		var changes, conflicts, unknown, refused, violations int
		for seed := range uint64(*seeds) {
			tr := runTrial(t, 100+seed, sc.faults)
			changes += tr.changes
			conflicts += tr.conflicts
			unknown += tr.unknown
			refused += tr.refused
			violations += len(tr.violations)
			for _, v := range tr.violations {
				t.Errorf("%s, seed %d: %s", sc.name, 100+seed, v)
			}
		}
		fmt.Printf("scenario %-40s seeds %d changes %4d conflicts %3d unknown %3d refused %3d violations %d\n",
			sc.name, *seeds, changes, conflicts, unknown, refused, violations)
		total += violations
	}
	fmt.Printf("violations: %d\n", total)
}
