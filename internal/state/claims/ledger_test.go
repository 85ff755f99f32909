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
		Client:    "arriaga",
		Service:   "ledger-bridge",
		Key:       key,
		BodyHash:  sha256.Sum256([]byte(body)),
		Attempt:   ids.Attempt{Entry: "e", Seq: seq},
		Deadline:  start.Add(10 * time.Second),
		Retention: time.Hour,
	}
}

// harness drives one ledger step by step. It records the commits without a response and the verdicts.
type harness struct {
	t        *testing.T
	ledger   *Ledger
	mem      *memtable.Memory
	now      time.Time
	commits  []platform.Txn
	verdicts map[uint64][]string
}

func newHarness(t *testing.T, mem *memtable.Memory, slot string) *harness {
	return &harness{
		t:        t,
		ledger:   NewLedger(testOptions(slot)),
		mem:      mem,
		now:      start,
		verdicts: map[uint64][]string{},
	}
}

func (h *harness) collect(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Commit:
			h.commits = append(h.commits, e.Txn)
		case DeliverVerdict:
			h.verdicts[e.Attempt.Seq] = append(h.verdicts[e.Attempt.Seq], verdictName(e.Verdict))
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

func (h *harness) submit(r Request) { h.collect(h.ledger.Submit(h.now, r)) }

// advance moves the clock by d and ticks the ledger.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.collect(h.ledger.Tick(h.now))
}

func (h *harness) popCommit() platform.Txn {
	h.t.Helper()
	if len(h.commits) == 0 {
		h.t.Fatal("no transaction was sent")
	}
	txn := h.commits[0]
	h.commits = h.commits[1:]
	return txn
}

// commitNext applies the oldest commit and returns the result to the ledger.
func (h *harness) commitNext() {
	h.t.Helper()
	txn := h.popCommit()
	res, err := h.mem.Apply(txn)
	h.collect(h.ledger.Committed(h.now, txn.Operation, res, err))
}

// loseNext reports the outcome of the oldest commit as unknown and returns the transaction, which is not applied.
func (h *harness) loseNext() platform.Txn {
	h.t.Helper()
	txn := h.popCommit()
	err := &platform.UnknownOutcomeError{Operation: txn.Operation}
	h.collect(h.ledger.Committed(h.now, txn.Operation, platform.Result{}, err))
	return txn
}

// runUntilIdle advances the clock by ten seconds in steps and applies every commit.
func (h *harness) runUntilIdle() {
	h.t.Helper()
	for range 20 {
		h.advance(500 * time.Millisecond)
		for len(h.commits) > 0 {
			h.commitNext()
		}
	}
}

func (h *harness) wantVerdicts(want map[uint64][]string) {
	h.t.Helper()
	if diff := cmp.Diff(want, h.verdicts); diff != "" {
		h.t.Fatal(diff)
	}
}

// Guards against a second run of a request that a caller resends with the same key after the first attempt finished.
// Both the same slot and another slot must return the stored outcome.
func TestResendReturnsStoredOutcome(t *testing.T) {
	mem := memtable.NewMemory()
	first := newHarness(t, mem, "s1")
	first.submit(request(1, "k", "slip"))
	first.commitNext()
	first.wantVerdicts(map[uint64][]string{1: {"start"}})
	first.collect(first.ledger.Finished(first.now, ids.Attempt{Entry: "e", Seq: 1}, Outcome{Status: 200, Body: []byte("printed")}))
	first.submit(request(2, "k", "slip"))
	first.wantVerdicts(map[uint64][]string{1: {"start"}, 2: {"outcome printed"}})
	first.runUntilIdle()
	if first.ledger.Live() != 0 {
		t.Fatalf("%d claims are live", first.ledger.Live())
	}
	other := newHarness(t, mem, "s2")
	other.submit(request(3, "k", "slip"))
	other.submit(request(4, "k2", "slip"))
	other.commitNext()
	other.runUntilIdle()
	other.wantVerdicts(map[uint64][]string{3: {"outcome printed"}, 4: {"start"}})
}

// Guards against a claim that fails because of others: claims share a transaction, and the keys of some of them are
// taken. The claim with a free key must be written by a later transaction.
func TestConflictDoesNotFailOtherClaimsInBatch(t *testing.T) {
	mem := memtable.NewMemory()
	holder := newHarness(t, mem, "s1")
	holder.submit(request(1, "taken", "a"))
	holder.commitNext()
	h := newHarness(t, mem, "s2")
	h.submit(request(10, "warm-up", "a"))
	h.submit(request(2, "taken", "a"))
	h.submit(request(3, "taken-2", "a"))
	h.submit(request(4, "free", "a"))
	holder.submit(request(5, "taken-2", "a"))
	holder.advance(time.Second)
	holder.commitNext()
	h.commitNext()
	h.advance(time.Second)
	if n := len(h.commits[0].Checks); n != 3 {
		t.Fatalf("%d claims share the transaction, want 3", n)
	}
	h.commitNext()
	h.runUntilIdle()
	h.wantVerdicts(map[uint64][]string{10: {"start"}, 2: {"running"}, 3: {"running"}, 4: {"start"}})
}

// Guards against a client that reuses its key for a request with another body and gets the response of the first. The
// request must be refused, without effect on the first.
func TestKeyReusedWithAnotherBodyIsRefused(t *testing.T) {
	mem := memtable.NewMemory()
	h := newHarness(t, mem, "s1")
	h.submit(request(1, "k", "a"))
	h.submit(request(2, "k", "b"))
	h.commitNext()
	other := newHarness(t, mem, "s2")
	other.submit(request(3, "k", "b"))
	other.commitNext()
	h.wantVerdicts(map[uint64][]string{1: {"start"}, 2: {"idempotency-key-reused"}})
	other.wantVerdicts(map[uint64][]string{3: {"idempotency-key-reused"}})
}

// Guards against a claim without a verdict because the table applies it and the response is lost. The resend with the
// same operation id must return the first result, so that the request starts once.
func TestLostResponseIsResolvedByResend(t *testing.T) {
	h := newHarness(t, memtable.NewMemory(), "s1")
	h.submit(request(1, "k", "a"))
	lost := h.loseNext()
	if _, err := h.mem.Apply(lost); err != nil {
		t.Fatal(err)
	}
	h.advance(time.Second)
	h.wantVerdicts(map[uint64][]string{})
	h.commitNext()
	h.wantVerdicts(map[uint64][]string{1: {"start"}})
}

// Guards against a key taken by a claim that was refused. The claim's transaction is delayed until after the deadline,
// when the caller has been refused as "not run". An empty transaction must have fenced it by then, so that a resend can
// run.
func TestDelayedTransactionIsFenced(t *testing.T) {
	h := newHarness(t, memtable.NewMemory(), "s1")
	h.submit(request(1, "k", "a"))
	late := h.loseNext()
	h.advance(11 * time.Second)
	h.wantVerdicts(map[uint64][]string{1: {"deadline-cannot-be-met"}})
	h.runUntilIdle()
	if _, err := h.mem.Apply(late); err != nil {
		t.Fatal(err)
	}
	if row := h.mem.Row(RowKey("arriaga", "k")); row.Version != 0 {
		t.Fatal("the late original claimed the key")
	}
	again := request(2, "k", "a")
	again.Deadline = h.now.Add(time.Second)
	h.submit(again)
	h.commitNext()
	h.wantVerdicts(map[uint64][]string{1: {"deadline-cannot-be-met"}, 2: {"start"}})
}

// Guards against a key that stays taken by an attempt that never starts. The claim was written, but the response is
// lost until after the deadline, when the client has been refused as "not run". The row must be deleted, so that a
// resend can run.
func TestClaimConfirmedAfterDeadlineIsReleased(t *testing.T) {
	h := newHarness(t, memtable.NewMemory(), "s1")
	h.submit(request(1, "k", "a"))
	if _, err := h.mem.Apply(h.loseNext()); err != nil {
		t.Fatal(err)
	}
	h.advance(11 * time.Second)
	again := request(2, "k", "a")
	again.Deadline = h.now.Add(time.Hour)
	h.submit(again)
	h.runUntilIdle()
	again.Attempt.Seq = 3
	h.submit(again)
	h.runUntilIdle()
	h.wantVerdicts(map[uint64][]string{1: {"deadline-cannot-be-met"}, 2: {"store-unavailable"}, 3: {"start"}})
}

// Guards against a delayed duplicate of an attempt that runs after the original was refused as "not run", also if the
// upstream refused the original after the claim.
func TestDelayedDuplicateOfRefusedAttemptIsRefused(t *testing.T) {
	h := newHarness(t, memtable.NewMemory(), "s1")
	h.submit(request(1, "k", "a"))
	txn := h.popCommit()
	down := &platform.UnavailableError{Op: "commit"}
	h.collect(h.ledger.Committed(h.now, txn.Operation, platform.Result{}, down))
	h.submit(request(1, "k", "a"))
	h.advance(time.Second)
	h.submit(request(2, "k2", "a"))
	h.commitNext()
	h.collect(h.ledger.NotStarted(h.now, ids.Attempt{Entry: "e", Seq: 2}))
	h.runUntilIdle()
	h.now = start.Add(8 * time.Second)
	h.submit(request(2, "k2", "a"))
	h.wantVerdicts(map[uint64][]string{
		1: {"store-unavailable", "store-unavailable"},
		2: {"start", "no-upstream"},
	})
}

// Guards against a late duplicate of a finished attempt that runs. At first the ledger still holds the decided attempt.
// Later a duplicate with a new deadline conflicts with the row; that the row names the same attempt must not start it.
func TestDelayedDuplicateOfFinishedAttemptDoesNotStart(t *testing.T) {
	h := newHarness(t, memtable.NewMemory(), "s1")
	h.submit(request(1, "k", "a"))
	h.commitNext()
	h.collect(h.ledger.Finished(h.now, ids.Attempt{Entry: "e", Seq: 1}, Outcome{Status: 200, Body: []byte("x")}))
	h.advance(time.Second)
	h.commitNext()
	h.submit(request(1, "k", "a"))
	h.advance(time.Minute)
	late := request(1, "k", "a")
	late.Deadline = h.now.Add(time.Second)
	h.submit(late)
	h.commitNext()
	h.wantVerdicts(map[uint64][]string{1: {"start", "outcome-unknown", "outcome x"}})
}

// Guards against a second run of a request whose slot crashed and that the caller resends. The resend must get
// "running" until the deadline and "outcome unknown" after it.
func TestCrashedSlotLeavesOutcomeUnknown(t *testing.T) {
	mem := memtable.NewMemory()
	crashed := newHarness(t, mem, "s1")
	crashed.submit(request(1, "k", "a"))
	crashed.commitNext()
	h := newHarness(t, mem, "s1-restarted")
	h.submit(request(2, "k", "a"))
	h.commitNext()
	h.now = start.Add(time.Minute)
	late := request(3, "k", "a")
	late.Deadline = h.now.Add(time.Minute)
	h.submit(late)
	h.commitNext()
	h.wantVerdicts(map[uint64][]string{2: {"running"}, 3: {"outcome-unknown"}})
}

// Guards against another response than "outcome unknown" to resends of a request whose upstream crashed, or whose
// response was too large to store.
func TestLostAndOversizedOutcomesAreUnknown(t *testing.T) {
	mem := memtable.NewMemory()
	h := newHarness(t, mem, "s1")
	h.ledger.opts.MaxOutcomeBytes = 3
	h.submit(request(1, "lost", "a"))
	h.commitNext()
	h.advance(time.Second)
	h.submit(request(2, "large", "a"))
	h.commitNext()
	h.collect(h.ledger.Lost(h.now, ids.Attempt{Entry: "e", Seq: 1}))
	h.collect(h.ledger.Finished(h.now, ids.Attempt{Entry: "e", Seq: 2}, Outcome{Status: 200, Body: []byte("long")}))
	h.runUntilIdle()
	for _, key := range []string{"lost", "large"} {
		v := verdictFromRow(h.now, request(3, key, "a"), mem.Row(RowKey("arriaga", key)), time.Second)
		if v.Refusal == nil || v.Refusal.Code != failure.CodeOutcomeUnknown {
			t.Errorf("%s: %+v", key, v)
		}
		var large *TooLargeError
		if key == "large" && !errors.As(v.Refusal, &large) {
			t.Errorf("%s: no *TooLargeError in %v", key, v.Refusal)
		}
	}
}

// Guards against a write rate that grows with the claim rate: claims that arrive within one interval must share a
// transaction.
func TestClaimsAreBatched(t *testing.T) {
	h := newHarness(t, memtable.NewMemory(), "s1")
	for i := range uint64(300) {
		h.submit(request(i, fmt.Sprint("k", i), "a"))
	}
	h.runUntilIdle()
	// The first claim is sent alone, the other 299 in batches of up to 128.
	if h.mem.Writes != 4 {
		t.Fatalf("%d transactions for 300 claims", h.mem.Writes)
	}
}

// Guards against a request that starts after its deadline. The slot is paused while the table's response is in flight,
// resumes after the deadline and reads the response first: the claim was written, but the request must be refused as
// "not run".
func TestPausedSlotDoesNotStartAfterTheDeadline(t *testing.T) {
	h := newHarness(t, memtable.NewMemory(), "s1")
	h.submit(request(1, "k", "a"))
	h.now = h.now.Add(11 * time.Second)
	h.commitNext()
	h.wantVerdicts(map[uint64][]string{1: {"deadline-cannot-be-met"}})
}

// Guards against keys taken for attempts that never start. Two claims share a transaction whose response is lost, and
// the key of one is taken meanwhile. When that key is free again, the delayed transaction arrives; without the fence it
// would take both keys.
func TestConflictAfterLostResponseIsFenced(t *testing.T) {
	mem := memtable.NewMemory()
	h := newHarness(t, mem, "s1")
	h.submit(request(1, "warm-up", "a"))
	h.submit(request(2, "k1", "a"))
	h.submit(request(3, "k2", "a"))
	h.commitNext()
	h.advance(time.Second)
	late := h.loseNext()
	other := newHarness(t, mem, "s2")
	other.submit(request(10, "k1", "a"))
	other.commitNext()
	h.runUntilIdle()
	h.wantVerdicts(map[uint64][]string{1: {"start"}, 2: {"running"}, 3: {"start"}})
	for seq, side := range map[uint64]*harness{3: h, 10: other} {
		side.collect(side.ledger.NotStarted(side.now, ids.Attempt{Entry: "e", Seq: seq}))
		side.runUntilIdle()
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

// Guards against an upstream that crashes the slot: the Content-Type of its response is stored with the outcome and may hold
// bytes that are not valid UTF-8.
func TestOutcomeWithInvalidContentTypeDoesNotPanic(t *testing.T) {
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("panic: %v", r)
		}
	}()
	h := newHarness(t, memtable.NewMemory(), "slot-1")
	h.submit(request(1, "k", "body"))
	h.runUntilIdle()
	outcome := Outcome{Status: 200, ContentType: "text/\xff", Body: []byte("slip")}
	h.collect(h.ledger.Finished(h.now, ids.Attempt{Entry: "e", Seq: 1}, outcome))
	h.runUntilIdle()
	h.wantVerdicts(map[uint64][]string{1: {"start"}})
}

// Guards against a repeated caller that is told a length of a response whose end nothing proved.
func TestStoredOutcomeKeepsUnprovenEnd(t *testing.T) {
	for _, unproven := range []bool{false, true} {
		stored := storedOutcome(Outcome{Status: 200, Body: []byte("slip"), EndUnproven: unproven}, 1<<10)
		if v := replay(stored); v.Outcome.EndUnproven != unproven {
			t.Errorf("stored %t, replayed %t", unproven, v.Outcome.EndUnproven)
		}
	}
}
