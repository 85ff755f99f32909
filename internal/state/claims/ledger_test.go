package claims

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
)

var start = time.Date(2030, 1, 1, 5, 0, 0, 0, time.UTC)

func testOptions(slot string) Options {
	o := DefaultOptions(ids.Incarnation(slot))
	n := 0
	o.NewOperation = func() ids.Operation {
		n++
		return ids.Operation(fmt.Sprintf("%s-%d", slot, n))
	}
	return o
}

func request(seq uint64, key, body string) Request {
	return Request{
		Client:   "arriaga",
		Service:  "ledger-bridge",
		Key:      key,
		BodyHash: sha256.Sum256([]byte(body)),
		Attempt:  ids.Attempt{Entry: "e", Seq: seq},
		Deadline: start.Add(10 * time.Second),
		Keep:     time.Hour,
	}
}

// bench drives one ledger by hand: it keeps the commits that wait for an answer and the verdicts given.
type bench struct {
	t        *testing.T
	ledger   *Ledger
	mem      *memtable.Memory
	now      time.Time
	commits  []platform.Txn
	verdicts map[uint64][]string
}

func newBench(t *testing.T, mem *memtable.Memory, slot string) *bench {
	return &bench{
		t:        t,
		ledger:   NewLedger(testOptions(slot)),
		mem:      mem,
		now:      start,
		verdicts: map[uint64][]string{},
	}
}

func (b *bench) take(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Commit:
			b.commits = append(b.commits, e.Txn)
		case Answer:
			b.verdicts[e.Attempt.Seq] = append(b.verdicts[e.Attempt.Seq], verdictName(e.Verdict))
		}
	}
}

func verdictName(v Verdict) string {
	switch {
	case v.Start:
		return "start"
	case v.Outcome != nil:
		return "outcome " + string(v.Outcome.Body)
	}
	return string(v.Refusal.Code)
}

func (b *bench) submit(r Request) { b.take(b.ledger.Submit(b.now, r)) }

// pass lets time pass and the ledger do what is due.
func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.take(b.ledger.Tick(b.now))
}

func (b *bench) pop() platform.Txn {
	b.t.Helper()
	if len(b.commits) == 0 {
		b.t.Fatal("no transaction was sent")
	}
	txn := b.commits[0]
	b.commits = b.commits[1:]
	return txn
}

// serve applies the oldest commit and answers it.
func (b *bench) serve() {
	b.t.Helper()
	txn := b.pop()
	res, err := b.mem.Apply(txn)
	b.take(b.ledger.Committed(b.now, txn.Operation, res, err))
}

// lose answers the oldest commit as unknown and returns it, not applied.
func (b *bench) lose() platform.Txn {
	b.t.Helper()
	txn := b.pop()
	err := &platform.UnknownOutcomeError{Operation: txn.Operation}
	b.take(b.ledger.Committed(b.now, txn.Operation, platform.Result{}, err))
	return txn
}

// settle serves and lets time pass until nothing is left to do.
func (b *bench) settle() {
	b.t.Helper()
	for range 20 {
		b.pass(500 * time.Millisecond)
		for len(b.commits) > 0 {
			b.serve()
		}
	}
}

func (b *bench) want(want map[uint64][]string) {
	b.t.Helper()
	if diff := cmp.Diff(want, b.verdicts); diff != "" {
		b.t.Fatal(diff)
	}
}

// The caller resends a pick slip under the same key: it gets the stored slip and the slip is printed once. The first
// attempt claims, runs and stores its outcome; the resend, through another slot, finds the row.
func TestResendGetsTheStoredOutcome(t *testing.T) {
	mem := memtable.NewMemory()
	first := newBench(t, mem, "s1")
	first.submit(request(1, "k", "slip"))
	first.serve()
	first.want(map[uint64][]string{1: {"start"}})
	first.take(first.ledger.Finished(first.now, ids.Attempt{Entry: "e", Seq: 1}, Outcome{Status: 200, Body: []byte("printed")}))
	first.submit(request(2, "k", "slip"))
	first.want(map[uint64][]string{1: {"start"}, 2: {"outcome printed"}})
	first.settle()
	if first.ledger.Live() != 0 {
		t.Fatalf("%d claims are live", first.ledger.Live())
	}
	other := newBench(t, mem, "s2")
	other.submit(request(3, "k", "slip"))
	other.submit(request(4, "k2", "slip"))
	other.serve()
	other.settle()
	other.want(map[uint64][]string{3: {"outcome printed"}, 4: {"start"}})
}

// Two callers share a transaction and one of them uses a key that is taken. The other caller notices nothing: its
// claim is written by the next transaction.
func TestConflictDoesNotFailTheOthersOfItsBatch(t *testing.T) {
	mem := memtable.NewMemory()
	holder := newBench(t, mem, "s1")
	holder.submit(request(1, "taken", "a"))
	holder.serve()
	b := newBench(t, mem, "s2")
	b.submit(request(10, "warm-up", "a"))
	b.submit(request(2, "taken", "a"))
	b.submit(request(3, "taken-2", "a"))
	b.submit(request(4, "free", "a"))
	holder.submit(request(5, "taken-2", "a"))
	holder.pass(time.Second)
	holder.serve()
	b.serve()
	b.pass(time.Second)
	if n := len(b.commits[0].Checks); n != 3 {
		t.Fatalf("%d claims share the transaction, want 3", n)
	}
	b.serve()
	b.settle()
	b.want(map[uint64][]string{10: {"start"}, 2: {"running"}, 3: {"running"}, 4: {"start"}})
}

// The caller uses its key for another body and is refused; the first request is untouched.
func TestKeyReusedWithAnotherBodyIsRefused(t *testing.T) {
	mem := memtable.NewMemory()
	b := newBench(t, mem, "s1")
	b.submit(request(1, "k", "a"))
	b.submit(request(2, "k", "b"))
	b.serve()
	other := newBench(t, mem, "s2")
	other.submit(request(3, "k", "b"))
	other.serve()
	b.want(map[uint64][]string{1: {"start"}, 2: {"idempotency-key-reused"}})
	other.want(map[uint64][]string{3: {"idempotency-key-reused"}})
}

// The caller waits a little longer, and its request runs once. The table applies the claim and its answer is lost;
// the same operation is sent again and answers as the first time.
func TestLostAnswerIsSettledByTheSameOperation(t *testing.T) {
	b := newBench(t, memtable.NewMemory(), "s1")
	b.submit(request(1, "k", "a"))
	lost := b.lose()
	if _, err := b.mem.Apply(lost); err != nil {
		t.Fatal(err)
	}
	b.pass(time.Second)
	b.want(map[uint64][]string{})
	b.serve()
	b.want(map[uint64][]string{1: {"start"}})
}

// The caller is told "not run" and resends later, which runs. The claim's transaction got lost; at the deadline an
// empty transaction takes its place, so that the original, arriving very late, claims nothing.
func TestLateOriginalIsFenced(t *testing.T) {
	b := newBench(t, memtable.NewMemory(), "s1")
	b.submit(request(1, "k", "a"))
	late := b.lose()
	b.pass(11 * time.Second)
	b.want(map[uint64][]string{1: {"deadline-cannot-be-met"}})
	b.settle()
	if _, err := b.mem.Apply(late); err != nil {
		t.Fatal(err)
	}
	if row := b.mem.Row(RowKey("arriaga", "k")); row.Version != 0 {
		t.Fatal("the late original claimed the key")
	}
	again := request(2, "k", "a")
	again.Deadline = b.now.Add(time.Second)
	b.submit(again)
	b.serve()
	b.want(map[uint64][]string{1: {"deadline-cannot-be-met"}, 2: {"start"}})
}

// The caller is told "not run" and resends later, which runs. The claim was written but its answer was lost until
// after the deadline; the row is deleted, since its attempt will never start.
func TestClaimWrittenAfterItsDeadlineIsReleased(t *testing.T) {
	b := newBench(t, memtable.NewMemory(), "s1")
	b.submit(request(1, "k", "a"))
	if _, err := b.mem.Apply(b.lose()); err != nil {
		t.Fatal(err)
	}
	b.pass(11 * time.Second)
	again := request(2, "k", "a")
	again.Deadline = b.now.Add(time.Hour)
	b.submit(again)
	b.settle()
	again.Attempt.Seq = 3
	b.submit(again)
	b.settle()
	b.want(map[uint64][]string{1: {"deadline-cannot-be-met"}, 2: {"store-unavailable"}, 3: {"start"}})
}

// The caller was told "not run"; a copy of its attempt that was held up in the network must not run after all, also
// when the first was refused by the upstream after the claim.
func TestLateCopyOfARefusedAttemptStaysRefused(t *testing.T) {
	b := newBench(t, memtable.NewMemory(), "s1")
	b.submit(request(1, "k", "a"))
	txn := b.pop()
	down := &platform.UnavailableError{Op: "commit"}
	b.take(b.ledger.Committed(b.now, txn.Operation, platform.Result{}, down))
	b.submit(request(1, "k", "a"))
	b.pass(time.Second)
	b.submit(request(2, "k2", "a"))
	b.serve()
	b.take(b.ledger.NotStarted(b.now, ids.Attempt{Entry: "e", Seq: 2}))
	b.settle()
	b.now = start.Add(8 * time.Second)
	b.submit(request(2, "k2", "a"))
	b.want(map[uint64][]string{
		1: {"store-unavailable", "store-unavailable"},
		2: {"start", "no-upstream"},
	})
}

// The caller has its answer; a copy of the attempt that arrives late does not run. At first the slot remembers the
// attempt; a copy that was given a new deadline and comes after that finds the row, which names the very attempt and
// must not be taken for leave to start.
func TestLateCopyOfAFinishedAttemptDoesNotStart(t *testing.T) {
	b := newBench(t, memtable.NewMemory(), "s1")
	b.submit(request(1, "k", "a"))
	b.serve()
	b.take(b.ledger.Finished(b.now, ids.Attempt{Entry: "e", Seq: 1}, Outcome{Status: 200, Body: []byte("x")}))
	b.pass(time.Second)
	b.serve()
	b.submit(request(1, "k", "a"))
	b.pass(time.Minute)
	late := request(1, "k", "a")
	late.Deadline = b.now.Add(time.Second)
	b.submit(late)
	b.serve()
	b.want(map[uint64][]string{1: {"start", "outcome-unknown", "outcome x"}})
}

// The caller whose slot died in the middle asks again: "running" until the deadline, "outcome unknown" after it, and
// never a second run.
func TestSlotThatDiedLeavesOutcomeUnknown(t *testing.T) {
	mem := memtable.NewMemory()
	dead := newBench(t, mem, "s1")
	dead.submit(request(1, "k", "a"))
	dead.serve()
	b := newBench(t, mem, "s1-restarted")
	b.submit(request(2, "k", "a"))
	b.serve()
	b.now = start.Add(time.Minute)
	late := request(3, "k", "a")
	late.Deadline = b.now.Add(time.Minute)
	b.submit(late)
	b.serve()
	b.want(map[uint64][]string{2: {"running"}, 3: {"outcome-unknown"}})
}

// The caller whose engine died, and the one whose answer is too large to keep, are told that the outcome is unknown.
func TestLostAndTooLargeOutcomes(t *testing.T) {
	mem := memtable.NewMemory()
	b := newBench(t, mem, "s1")
	b.ledger.opts.MaxOutcomeBytes = 3
	b.submit(request(1, "lost", "a"))
	b.serve()
	b.pass(time.Second)
	b.submit(request(2, "large", "a"))
	b.serve()
	b.take(b.ledger.Lost(b.now, ids.Attempt{Entry: "e", Seq: 1}))
	b.take(b.ledger.Finished(b.now, ids.Attempt{Entry: "e", Seq: 2}, Outcome{Status: 200, Body: []byte("long")}))
	b.settle()
	for _, key := range []string{"lost", "large"} {
		v := judge(b.now, request(3, key, "a"), mem.Row(RowKey("arriaga", key)), time.Second)
		if v.Refusal == nil || v.Refusal.Code != failure.CodeOutcomeUnknown {
			t.Errorf("%s: %+v", key, v)
		}
		var large *TooLargeError
		if key == "large" && !errors.As(v.Refusal, &large) {
			t.Errorf("%s: no *TooLargeError in %v", key, v.Refusal)
		}
	}
}

// Claims that arrive within one interval share a transaction, so that the write rate does not follow the claim rate.
func TestClaimsShareTransactions(t *testing.T) {
	b := newBench(t, memtable.NewMemory(), "s1")
	for i := range uint64(300) {
		b.submit(request(i, fmt.Sprint("k", i), "a"))
	}
	b.settle()
	// The first claim goes alone, the other 299 in batches of 128.
	if b.mem.Writes != 4 {
		t.Fatalf("%d transactions for 300 claims", b.mem.Writes)
	}
}

// The caller is told "not run", and that holds although the claim was written: the process was paused while the answer
// of the table was on its way and woke up after the deadline, with the answer the first thing it read.
func TestPausedSlotDoesNotStartAfterTheDeadline(t *testing.T) {
	b := newBench(t, memtable.NewMemory(), "s1")
	b.submit(request(1, "k", "a"))
	b.now = b.now.Add(11 * time.Second)
	b.serve()
	b.want(map[uint64][]string{1: {"deadline-cannot-be-met"}})
}

// Two callers share a transaction whose answer is lost, and the key of one is taken meanwhile. The other runs once;
// when the taken key is free again and the lost transaction arrives at last, it claims nothing. Without the fence it
// would hold both keys for attempts that never start.
func TestConflictAfterALostAnswerIsFenced(t *testing.T) {
	mem := memtable.NewMemory()
	b := newBench(t, mem, "s1")
	b.submit(request(1, "warm-up", "a"))
	b.submit(request(2, "k1", "a"))
	b.submit(request(3, "k2", "a"))
	b.serve()
	b.pass(time.Second)
	late := b.lose()
	other := newBench(t, mem, "s2")
	other.submit(request(10, "k1", "a"))
	other.serve()
	b.settle()
	b.want(map[uint64][]string{1: {"start"}, 2: {"running"}, 3: {"start"}})
	for seq, side := range map[uint64]*bench{3: b, 10: other} {
		side.take(side.ledger.NotStarted(side.now, ids.Attempt{Entry: "e", Seq: seq}))
		side.settle()
	}
	if _, err := mem.Apply(late); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"k1", "k2"} {
		if row := mem.Row(RowKey("arriaga", key)); row.Version != 0 {
			t.Errorf("the late transaction claimed %s", key)
		}
	}
}
