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
	objects      = 3
	operators    = 4
	neverReturns = int64(1) << 62
)

// seeds is the number of trials per scenario. `make test` runs one with the race detector, which takes ten times as long;
// `make test-config` runs three without it.
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

// trial is one run of a scenario: concurrent operators, and checks that run until its end.
type trial struct {
	*cluster
	rand  *rand.Rand
	done  chan struct{}
	clock atomic.Int64

	mu              sync.Mutex
	history         []porcupine.Operation
	changes         int
	conflicts       int
	unknownOutcomes int
	refused         int
	violations      []string
	acceptedAt      []acceptance
	inForce         map[string]uint64
	replacements    int
}

// acceptance is when the checks first saw a log entry accepted.
type acceptance struct {
	seq uint64
	at  time.Time
}

func (tr *trial) recordViolation(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.violations) < 20 {
		tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
	}
}

// sortedMembers returns a copy of the members, sorted by name, since scenarios replace members while operators and checks
// run.
func (tr *trial) sortedMembers() []*member {
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
	var unknown *store.UnknownOutcomeError
	switch {
	case err == nil:
		tr.changes++
	case errors.As(err, &unknown):
		tr.unknownOutcomes++
		ret = neverReturns // the change may take effect at any time after the call
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

// runOperator makes one operator's changes and reads at random nodes until the trial is done.
func (tr *trial) runOperator(id int, rng *rand.Rand) {
	for i := uint32(1); ; i++ {
		select {
		case <-tr.done:
			return
		case <-time.After(time.Duration(rng.IntN(3000)) * time.Millisecond):
		}
		members := tr.sortedMembers()
		at := members[rng.IntN(len(members))]
		if rng.IntN(4) == 0 {
			tr.read(at)
			continue
		}
		tr.change(at, rng, uint32(id)*100_000+i)
	}
}

// watchInvariants checks the head row and every node every 10 ms until the trial is done.
func (tr *trial) watchInvariants() {
	var head cardamomyokev1.Head
	for {
		select {
		case <-tr.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		var now cardamomyokev1.Head
		if err := proto.Unmarshal(tr.store.Peek("config/head").Value, &now); err != nil {
			tr.recordViolation("head row: %v", err)
		}
		tr.checkHead(&head, &now)
		head.Committed, head.Accepted = now.GetCommitted(), now.GetAccepted()
		for _, m := range tr.sortedMembers() {
			tr.checkNode(m, head.GetAccepted())
		}
	}
}

func (tr *trial) checkHead(before, now *cardamomyokev1.Head) {
	if now.GetCommitted() < before.GetCommitted() || now.GetAccepted() < before.GetAccepted() {
		tr.recordViolation("head goes back from %v to %v", before, now)
	}
	if now.GetAccepted() == before.GetAccepted() {
		return
	}
	tr.acceptedAt = append(tr.acceptedAt, acceptance{now.GetAccepted(), time.Now()})
	for _, m := range tr.sortedMembers() {
		if v := m.agent.View(); v.Fresh(time.Now()) && v.Staged < now.GetAccepted() {
			tr.recordViolation("%s takes work without entry %d, which is accepted", m.name, now.GetAccepted())
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
		if a := tr.acceptedAt[i]; now.Sub(a.at) > staleAfter {
			if v.InForce.Seq < a.seq {
				tr.recordViolation("%s takes work on entry %d, %v after %d was accepted", m.name, v.InForce.Seq, now.Sub(a.at), a.seq)
			}
			break
		}
	}
	if v.InForce.Seq < tr.inForce[m.name] {
		tr.recordViolation("%s goes back from entry %d, accepted and in force before, to %d", m.name, tr.inForce[m.name], v.InForce.Seq)
	}
	if v.InForce.Seq <= accepted {
		tr.inForce[m.name] = v.InForce.Seq
	}
}

// checkRecovery ends all faults and checks that the system recovers: every node takes work, and one more change is accepted.
func (tr *trial) checkRecovery() {
	tr.mu.Lock()
	tr.store.SetFaults(standin.PartTable, standin.Faults{Delay: 4 * time.Millisecond})
	tr.healPartition()
	tr.mu.Unlock()
	time.Sleep(time.Minute)
	close(tr.done)
	time.Sleep(time.Minute)
	members := tr.sortedMembers()
	for _, m := range members {
		if !m.agent.Fresh(time.Now()) {
			tr.recordViolation("%s takes no work a minute after the last fault: %+v", m.name, m.agent.View())
		}
	}
	at := members[0].agent
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	st, err := at.Store().Committed(ctx, nil)
	if err != nil {
		tr.recordViolation("after the last fault: %v", err)
		return
	}
	e, err := at.Change(ctx, tr.meta(st.Revision()), addressTTLEdit(5000))
	if err != nil {
		tr.recordViolation("change after the last fault: %v", err)
		return
	}
	if v := at.Wait(ctx, e.GetSeq()); v.Accepted < e.GetSeq() {
		tr.recordViolation("change after the last fault is not accepted, pending %v", v.Pending)
	}
}

func runTrial(t *testing.T, seed uint64, faults func(*trial)) *trial {
	var tr *trial
	synctest.Test(t, func(t *testing.T) {
		tr = &trial{
			cluster: newCluster(t, seed), rand: rand.New(rand.NewPCG(seed, 7)), done: make(chan struct{}), inForce: map[string]uint64{},
		}
		tr.startAll(4, "a", "b", "c")
		time.Sleep(settleTime)
		e := tr.cluster.change("a-0", 0)
		tr.accepted("a-0", e, 5*time.Second)
		var wg sync.WaitGroup
		for id := range operators {
			wg.Go(func() { tr.runOperator(id+1, rand.New(rand.NewPCG(seed, uint64(id)))) })
		}
		wg.Go(tr.watchInvariants)
		faults(tr)
		tr.checkRecovery()
		wg.Wait()
		tr.stop()
	})
	if !porcupine.CheckOperations(register, tr.history) {
		tr.recordViolation("history of %d operations is not linearizable", len(tr.history))
	}
	return tr
}

// randomSteps calls step n times, with a random pause of 0.5 to 8.5 s after each call.
func (tr *trial) randomSteps(n int, step func()) {
	for range n {
		tr.mu.Lock()
		step()
		tr.mu.Unlock()
		time.Sleep(time.Duration(500+tr.rand.IntN(8000)) * time.Millisecond)
	}
}

func (tr *trial) loseResponses() {
	tr.store.SetFaults(standin.PartTable, standin.Faults{
		Delay: time.Duration(tr.rand.IntN(300)) * time.Millisecond, LoseResponses: tr.rand.IntN(6),
		LateWrites: tr.rand.IntN(3), LateBy: time.Duration(tr.rand.IntN(10_000)) * time.Millisecond,
	})
}

func (tr *trial) outage() {
	f := standin.Faults{Delay: 4 * time.Millisecond, Outage: tr.rand.IntN(2) == 0}
	tr.store.SetFaults(standin.PartTable, f)
}

func (tr *trial) pauseOne() {
	names := tr.sortedNames()
	m := tr.members[names[tr.rand.IntN(len(names))]]
	if time.Now().Before(m.resumesBy) {
		return
	}
	d := time.Duration(tr.rand.IntN(15_000)) * time.Millisecond
	m.resumesBy = time.Now().Add(d + time.Second)
	time.AfterFunc(d, m.pause())
}

func (tr *trial) sortedNames() []string {
	var names []string
	for name := range tr.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (tr *trial) partitionSome() {
	names := tr.sortedNames()
	switch tr.rand.IntN(4) {
	case 0:
		tr.healPartition()
	case 1:
		names = tr.cluster.names([]string{"a", "b", "c"}[tr.rand.IntN(3)])
		tr.partition(tr.rand.IntN(2) == 0, names...)
	default:
		tr.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		tr.partition(tr.rand.IntN(2) == 0, names[:1+tr.rand.IntN(5)]...)
	}
}

// replaceOne kills the next node in turn and starts one of the same or of another name. The killed node does not leave first.
func (tr *trial) replaceOne() {
	names := tr.sortedNames()
	name := names[tr.replacements%len(names)]
	tr.replacements++
	replacement := name
	if tr.rand.IntN(2) == 0 {
		replacement = fmt.Sprintf("%s-r%d", dataCentre(name), tr.replacements)
	}
	if time.Now().Before(tr.members[name].resumesBy) {
		return // the loop of a paused node cannot end
	}
	tr.kill(name)
	tr.start(replacement, names...)
}

// Guards against a history of configuration changes that is not linearizable, and against a node that takes work without an
// accepted log entry for longer than staleAfter. Concurrent operators change and read the configuration while random faults
// occur.
func TestScenarios(t *testing.T) {
	scenarios := []struct {
		name   string
		faults func(*trial)
	}{
		{"racing operators", func(tr *trial) { tr.randomSteps(20, func() {}) }},
		{"lost responses and late writes", func(tr *trial) { tr.randomSteps(20, tr.loseResponses) }},
		{"outages before, during and after a put", func(tr *trial) { tr.randomSteps(20, tr.outage) }},
		{"paused nodes", func(tr *trial) { tr.randomSteps(20, tr.pauseOne) }},
		{"isolated nodes and data centres", func(tr *trial) { tr.randomSteps(20, tr.partitionSome) }},
		{"rolling replacement of every node", func(tr *trial) { tr.randomSteps(30, tr.replaceOne) }},
		{"rolling replacement during outages", func(tr *trial) {
			tr.randomSteps(30, func() { tr.replaceOne(); tr.outage() })
		}},
		{"all faults combined", func(tr *trial) {
			all := []func(){tr.loseResponses, tr.outage, tr.pauseOne, tr.partitionSome, tr.replaceOne}
			tr.randomSteps(40, func() { all[tr.rand.IntN(len(all))]() })
		}},
	}
	total := 0
	for _, sc := range scenarios {
		var changes, conflicts, unknown, refused, violations int
		for seed := range uint64(*seeds) {
			tr := runTrial(t, 100+seed, sc.faults)
			changes += tr.changes
			conflicts += tr.conflicts
			unknown += tr.unknownOutcomes
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
