package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
)

const (
	randomSeeds = 300
	randomSteps = 400
	randomKeys  = 6
)

// simulation drives several slots that share one table in random order. It checks each verdict.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	mem     *memtable.Memory
	now     time.Time
	slots   []*simulatedSlot
	delayed []platform.Txn
	seq     uint64
	sent    []Request
	// runs holds the attempt that ran for each key; notRun holds the attempts that were reported as not run.
	runs   map[string]ids.Attempt
	notRun map[ids.Attempt]bool
	// sentTo is the slot process that received each attempt. A duplicate is sent to the same process only.
	sentTo  map[ids.Attempt]string
	spawned int
}

type simulatedSlot struct {
	ledger          *Ledger
	name            string
	commits         []platform.Txn
	running         []Request
	pendingVerdicts int
}

func (sim *simulation) spawn() *simulatedSlot {
	sim.spawned++
	name := fmt.Sprintf("slot-%d", sim.spawned)
	return &simulatedSlot{name: name, ledger: NewLedger(testOptions(name))}
}

func (sim *simulation) fatalf(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf(format, args...)
}

func (sim *simulation) apply(s *simulatedSlot, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Commit:
			s.commits = append(s.commits, e.Txn)
		case DeliverVerdict:
			s.pendingVerdicts--
			sim.checkVerdict(s, e)
		}
	}
}

func (sim *simulation) checkVerdict(s *simulatedSlot, e DeliverVerdict) {
	r := sim.sent[e.Attempt.Seq]
	v := e.Verdict
	switch {
	case v.Start:
		if sim.notRun[e.Attempt] {
			sim.fatalf("attempt %v starts after it was reported as not run", e.Attempt)
		}
		if first, ran := sim.runs[r.Key]; ran {
			sim.fatalf("key %s runs twice: %v and %v", r.Key, first, e.Attempt)
		}
		if !sim.now.Before(r.Deadline) {
			sim.fatalf("attempt %v starts after its deadline", e.Attempt)
		}
		sim.runs[r.Key] = e.Attempt
		s.running = append(s.running, r)
	case v.Outcome != nil:
		if want := sim.runs[r.Key].String(); string(v.Outcome.Body) != want {
			sim.fatalf("key %s: outcome %q, ran %q", r.Key, v.Outcome.Body, want)
		}
	case v.Refusal.Code.Meaning().NotRun:
		if sim.runs[r.Key] == e.Attempt {
			sim.fatalf("attempt %v is reported as not run, but ran", e.Attempt)
		}
		sim.notRun[e.Attempt] = true
	}
}

func (sim *simulation) step() {
	s := sim.slots[sim.rng.IntN(len(sim.slots))]
	switch sim.rng.IntN(12) {
	case 0, 1, 2:
		sim.submit(s)
	case 3, 4, 5:
		sim.answerCommit(s)
	case 6:
		sim.applyDelayed()
	case 7, 8:
		sim.now = sim.now.Add(time.Duration(sim.rng.IntN(400)) * time.Millisecond)
		for _, s := range sim.slots {
			sim.apply(s, s.ledger.Tick(sim.now))
		}
	case 9, 10:
		sim.endAttempt(s)
	case 11:
		if sim.rng.IntN(6) == 0 {
			sim.crash(s)
		}
	}
}

// submit sends a new attempt or a delayed duplicate of an earlier one to a slot.
func (sim *simulation) submit(s *simulatedSlot) {
	if len(sim.sent) > 0 && sim.rng.IntN(4) == 0 {
		old := sim.sent[sim.rng.IntN(len(sim.sent))]
		if sim.sentTo[old.Attempt] == s.name {
			s.pendingVerdicts++
			sim.apply(s, s.ledger.Submit(sim.now, old))
		}
		return
	}
	r := request(sim.seq, fmt.Sprint("k", sim.rng.IntN(randomKeys)), "a")
	r.Deadline = sim.now.Add(time.Duration(1+sim.rng.IntN(3000)) * time.Millisecond)
	sim.seq++
	sim.sent = append(sim.sent, r)
	sim.sentTo[r.Attempt] = s.name
	s.pendingVerdicts++
	sim.apply(s, s.ledger.Submit(sim.now, r))
}

func (sim *simulation) answerCommit(s *simulatedSlot) {
	if len(s.commits) == 0 {
		return
	}
	i := sim.rng.IntN(len(s.commits))
	txn := s.commits[i]
	s.commits = append(s.commits[:i], s.commits[i+1:]...)
	var res platform.Result
	var err error = &platform.UnknownOutcomeError{Operation: txn.Operation}
	switch sim.rng.IntN(8) {
	case 0:
		err = &platform.UnavailableError{Op: "commit"}
	case 1:
		_, _ = sim.mem.Apply(txn)
	case 2:
		sim.delayed = append(sim.delayed, txn)
	case 3: // The write is lost for good.
	default:
		res, err = sim.mem.Apply(txn)
	}
	sim.apply(s, s.ledger.Committed(sim.now, txn.Operation, res, err))
}

func (sim *simulation) applyDelayed() {
	if len(sim.delayed) == 0 {
		return
	}
	i := sim.rng.IntN(len(sim.delayed))
	_, _ = sim.mem.Apply(sim.delayed[i])
	sim.delayed = append(sim.delayed[:i], sim.delayed[i+1:]...)
}

func (sim *simulation) endAttempt(s *simulatedSlot) {
	if len(s.running) == 0 {
		return
	}
	r := s.running[0]
	s.running = s.running[1:]
	switch sim.rng.IntN(4) {
	case 0:
		sim.apply(s, s.ledger.Lost(sim.now, r.Attempt))
	case 1:
		delete(sim.runs, r.Key)
		sim.notRun[r.Attempt] = true
		sim.apply(s, s.ledger.NotStarted(sim.now, r.Attempt))
	default:
		sim.apply(s, s.ledger.Finished(sim.now, r.Attempt, Outcome{Status: 200, Body: []byte(r.Attempt.String())}))
	}
}

// crash replaces a slot process by a new one. The transactions of the old process may still reach the table.
func (sim *simulation) crash(s *simulatedSlot) {
	sim.delayed = append(sim.delayed, s.commits...)
	for i := range sim.slots {
		if sim.slots[i] == s {
			sim.slots[i] = sim.spawn()
		}
	}
}

// endFaultsAndCheck ends all faults and checks that every attempt got a verdict and that no row is held by an attempt
// that never starts.
func (sim *simulation) endFaultsAndCheck() {
	for range 40 {
		sim.now = sim.now.Add(500 * time.Millisecond)
		for len(sim.delayed) > 0 {
			sim.applyDelayed()
		}
		for _, s := range sim.slots {
			sim.apply(s, s.ledger.Tick(sim.now))
			for len(s.commits) > 0 {
				txn := s.commits[0]
				s.commits = s.commits[1:]
				res, err := sim.mem.Apply(txn)
				sim.apply(s, s.ledger.Committed(sim.now, txn.Operation, res, err))
			}
		}
	}
	for _, s := range sim.slots {
		if s.pendingVerdicts != 0 {
			sim.fatalf("%s has %d attempts without a verdict", s.name, s.pendingVerdicts)
		}
		sim.checkOrphans(s)
	}
}

func (sim *simulation) checkOrphans(s *simulatedSlot) {
	for _, row := range sim.mem.List(RowPrefix, "", randomKeys+1) {
		c, err := decodeRow(row)
		if err != nil {
			sim.fatalf("%v", err)
		}
		if c.GetSlotIncarnation() != s.name || c.GetState() != cardamomyokev1.ClaimState_CLAIM_STATE_RUNNING {
			continue
		}
		if s.ledger.byRow[row.Key] == nil {
			sim.fatalf("row %s is held by attempt %s, for which %s has no claim", row.Key, c.GetAttempt(), s.name)
		}
	}
}

// Guards against a request that runs twice, and against a false "not run". Callers resend requests through two slots
// while the table loses responses, delays writes and refuses, slots crash and duplicates of attempts arrive late.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := &simulation{
				t:      t,
				rng:    rand.New(rand.NewPCG(seed, 1)),
				mem:    memtable.NewMemory(),
				now:    start,
				runs:   map[string]ids.Attempt{},
				notRun: map[ids.Attempt]bool{},
				sentTo: map[ids.Attempt]string{},
			}
			sim.slots = []*simulatedSlot{sim.spawn(), sim.spawn()}
			for range randomSteps {
				sim.step()
			}
			sim.endFaultsAndCheck()
		})
	}
}
