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

// world is a few slots over one table, driven in random order. Its history is checked as it grows.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	mem   *memtable.Memory
	now   time.Time
	slots []*worldSlot
	late  []platform.Txn
	seq   uint64
	sent  []Request
	// runs holds the attempt that ran each key; notRun the attempts that were said not to have run.
	runs   map[string]ids.Attempt
	notRun map[ids.Attempt]bool
	// sentTo is the slot process that got each attempt; a copy goes to no other.
	sentTo map[ids.Attempt]string
	births int
}

type worldSlot struct {
	ledger  *Ledger
	name    string
	commits []platform.Txn
	running []Request
	owed    int
}

func (w *world) spawn() *worldSlot {
	w.births++
	name := fmt.Sprintf("slot-%d", w.births)
	return &worldSlot{name: name, ledger: NewLedger(testOptions(name))}
}

func (w *world) fatalf(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf(format, args...)
}

func (w *world) take(s *worldSlot, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Commit:
			s.commits = append(s.commits, e.Txn)
		case Answer:
			s.owed--
			w.check(s, e)
		}
	}
}

func (w *world) check(s *worldSlot, e Answer) {
	r := w.sent[e.Attempt.Seq]
	v := e.Verdict
	switch {
	case v.Start:
		if w.notRun[e.Attempt] {
			w.fatalf("attempt %v starts after it was said not to run", e.Attempt)
		}
		if first, ran := w.runs[r.Key]; ran {
			w.fatalf("key %s runs twice: %v and %v", r.Key, first, e.Attempt)
		}
		if !w.now.Before(r.Deadline) {
			w.fatalf("attempt %v starts after its deadline", e.Attempt)
		}
		w.runs[r.Key] = e.Attempt
		s.running = append(s.running, r)
	case v.Outcome != nil:
		if want := w.runs[r.Key].String(); string(v.Outcome.Body) != want {
			w.fatalf("key %s: outcome %q, ran %q", r.Key, v.Outcome.Body, want)
		}
	case v.Refusal.Code.Meaning().NotRun:
		if w.runs[r.Key] == e.Attempt {
			w.fatalf("attempt %v is said not to have run, but ran", e.Attempt)
		}
		w.notRun[e.Attempt] = true
	}
}

func (w *world) step() {
	s := w.slots[w.rng.IntN(len(w.slots))]
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		w.submit(s)
	case 3, 4, 5:
		w.answerTable(s)
	case 6:
		w.releaseLate()
	case 7, 8:
		w.now = w.now.Add(time.Duration(w.rng.IntN(400)) * time.Millisecond)
		for _, s := range w.slots {
			w.take(s, s.ledger.Tick(w.now))
		}
	case 9, 10:
		w.endRun(s)
	case 11:
		if w.rng.IntN(6) == 0 {
			w.crash(s)
		}
	}
}

// submit sends a new attempt or a late copy of an old one to a slot.
func (w *world) submit(s *worldSlot) {
	if len(w.sent) > 0 && w.rng.IntN(4) == 0 {
		old := w.sent[w.rng.IntN(len(w.sent))]
		if w.sentTo[old.Attempt] == s.name {
			s.owed++
			w.take(s, s.ledger.Submit(w.now, old))
		}
		return
	}
	r := request(w.seq, fmt.Sprint("k", w.rng.IntN(randomKeys)), "a")
	r.Deadline = w.now.Add(time.Duration(1+w.rng.IntN(3000)) * time.Millisecond)
	w.seq++
	w.sent = append(w.sent, r)
	w.sentTo[r.Attempt] = s.name
	s.owed++
	w.take(s, s.ledger.Submit(w.now, r))
}

func (w *world) answerTable(s *worldSlot) {
	if len(s.commits) == 0 {
		return
	}
	i := w.rng.IntN(len(s.commits))
	txn := s.commits[i]
	s.commits = append(s.commits[:i], s.commits[i+1:]...)
	var res platform.Result
	var err error = &platform.UnknownOutcomeError{Operation: txn.Operation}
	switch w.rng.IntN(8) {
	case 0:
		err = &platform.UnavailableError{Op: "commit"}
	case 1:
		_, _ = w.mem.Apply(txn)
	case 2:
		w.late = append(w.late, txn)
	case 3: // The write is lost for good.
	default:
		res, err = w.mem.Apply(txn)
	}
	w.take(s, s.ledger.Committed(w.now, txn.Operation, res, err))
}

func (w *world) releaseLate() {
	if len(w.late) == 0 {
		return
	}
	i := w.rng.IntN(len(w.late))
	_, _ = w.mem.Apply(w.late[i])
	w.late = append(w.late[:i], w.late[i+1:]...)
}

func (w *world) endRun(s *worldSlot) {
	if len(s.running) == 0 {
		return
	}
	r := s.running[0]
	s.running = s.running[1:]
	switch w.rng.IntN(4) {
	case 0:
		w.take(s, s.ledger.Lost(w.now, r.Attempt))
	case 1:
		delete(w.runs, r.Key)
		w.notRun[r.Attempt] = true
		w.take(s, s.ledger.NotStarted(w.now, r.Attempt))
	default:
		w.take(s, s.ledger.Finished(w.now, r.Attempt, Outcome{Status: 200, Body: []byte(r.Attempt.String())}))
	}
}

// crash replaces a slot process by a new one; its transactions may still reach the table.
func (w *world) crash(s *worldSlot) {
	w.late = append(w.late, s.commits...)
	for i := range w.slots {
		if w.slots[i] == s {
			w.slots[i] = w.spawn()
		}
	}
}

// heal ends all faults and checks that every attempt was answered and that no row is held by an attempt that will
// never start.
func (w *world) heal() {
	for range 40 {
		w.now = w.now.Add(500 * time.Millisecond)
		for len(w.late) > 0 {
			w.releaseLate()
		}
		for _, s := range w.slots {
			w.take(s, s.ledger.Tick(w.now))
			for len(s.commits) > 0 {
				txn := s.commits[0]
				s.commits = s.commits[1:]
				res, err := w.mem.Apply(txn)
				w.take(s, s.ledger.Committed(w.now, txn.Operation, res, err))
			}
		}
	}
	for _, s := range w.slots {
		if s.owed != 0 {
			w.fatalf("%s owes %d answers", s.name, s.owed)
		}
		w.checkOrphans(s)
	}
}

func (w *world) checkOrphans(s *worldSlot) {
	for _, row := range w.mem.List(RowPrefix, "", randomKeys+1) {
		c, err := decodeRow(row)
		if err != nil {
			w.fatalf("%v", err)
		}
		if c.GetSlotIncarnation() != s.name || c.GetState() != cardamomyokev1.ClaimState_CLAIM_STATE_RUNNING {
			continue
		}
		if s.ledger.byRow[row.Key] == nil {
			w.fatalf("row %s is held by attempt %s, which %s has forgotten", row.Key, c.GetAttempt(), s.name)
		}
	}
}

// Callers resend pick slips through two slots while the table loses answers, delays writes and refuses, slots crash
// and copies of attempts arrive late. Each slip runs at most once, and "not run" stays true.
func TestAtMostOnceUnderRandomFaults(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := &world{
				t:      t,
				rng:    rand.New(rand.NewPCG(seed, 1)),
				mem:    memtable.NewMemory(),
				now:    start,
				runs:   map[string]ids.Attempt{},
				notRun: map[ids.Attempt]bool{},
				sentTo: map[ids.Attempt]string{},
			}
			w.slots = []*worldSlot{w.spawn(), w.spawn()}
			for range randomSteps {
				w.step()
			}
			w.heal()
		})
	}
}
