package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
)

// withStore runs f with a running store in a synctest bubble.
func withStore(t *testing.T, plan memtable.Plan, f func(t *testing.T, s *Store, table *memtable.Table)) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(plan)
		ctx, cancel := context.WithCancel(t.Context())
		s := NewStore(table, testOptions("s1"), time.Second)
		go s.Run(ctx)
		f(t, s, table)
		cancel()
		synctest.Wait()
	})
}

func requestWithTimeout(seq uint64, key string, timeout time.Duration) Request {
	r := request(seq, key, "a")
	r.Deadline = time.Now().Add(timeout)
	return r
}

// Guards against one transaction per claim: 200 concurrent claims must all start, and share a few transactions.
func TestStoreBatchesConcurrentClaims(t *testing.T) {
	withStore(t, nil, func(t *testing.T, s *Store, table *memtable.Table) {
		var wg sync.WaitGroup
		for i := range uint64(200) {
			wg.Go(func() {
				if v := s.Claim(t.Context(), requestWithTimeout(i, fmt.Sprint(i), time.Minute)); !v.Start {
					t.Errorf("claim %d: %+v", i, v)
				}
				s.Finished(ids.Attempt{Entry: "e", Seq: i}, Outcome{Status: 200})
			})
		}
		wg.Wait()
		s.Drain(t.Context())
		table.Memory(func(m *memtable.Memory) {
			if m.Writes > 8 {
				t.Errorf("%d transactions for 200 claims and outcomes", m.Writes)
			}
		})
	})
}

// Guards against callers that wait for a claim that cannot be written. It must be refused as not run: immediately if
// the table reports that it is unavailable, and at its deadline if the table does not respond.
func TestStoreRefusesDuringAnOutage(t *testing.T) {
	fault, delay := memtable.Unavailable, time.Duration(0)
	plan := func() (memtable.Fault, time.Duration) { return fault, delay }
	withStore(t, plan, func(t *testing.T, s *Store, table *memtable.Table) {
		v := s.Claim(t.Context(), requestWithTimeout(1, "a", 5*time.Second))
		if v.Refusal == nil || v.Refusal.Code != failure.CodeStoreUnavailable || v.Refusal.Proof != failure.ProofRefusedBeforeStart {
			t.Errorf("refused by the table: %+v", v)
		}
		table.SetPlan(func() (memtable.Fault, time.Duration) { return memtable.None, time.Hour })
		begin := time.Now()
		v = s.Claim(t.Context(), requestWithTimeout(2, "a", 5*time.Second))
		if v.Refusal == nil || v.Refusal.Code != failure.CodeDeadlineUnmet || time.Since(begin) != 5*time.Second {
			t.Errorf("unresponsive table: %+v after %v", v, time.Since(begin))
		}
		table.SetPlan(nil)
		s.Drain(t.Context())
	})
}

// Guards against a request that runs, or whose key stays taken, although its caller disconnects while the claim is
// being written.
func TestStoreReleasesCancelledClaim(t *testing.T) {
	slow := func() (memtable.Fault, time.Duration) { return memtable.None, 500 * time.Millisecond }
	withStore(t, slow, func(t *testing.T, s *Store, table *memtable.Table) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		v := s.Claim(ctx, requestWithTimeout(1, "a", time.Minute))
		if v.Refusal == nil || v.Refusal.Code != failure.CodeCancelled {
			t.Errorf("cancelled claim: %+v", v)
		}
		s.Drain(t.Context())
		if v := s.Claim(t.Context(), requestWithTimeout(2, "a", time.Minute)); !v.Start {
			t.Errorf("after the release: %+v", v)
		}
		s.NotStarted(ids.Attempt{Entry: "e", Seq: 2})
		s.Drain(t.Context())
	})
}

// Guards against expired claims that are never deleted, and against the deletion of a live claim: a key that was
// released and claimed again is in two lists, and its claim must stay when the first list expires.
func TestSweeperRemovesExpiredClaims(t *testing.T) {
	withStore(t, nil, func(t *testing.T, s *Store, table *memtable.Table) {
		claim := func(seq uint64, key string, retention time.Duration) {
			r := requestWithTimeout(seq, key, time.Second)
			r.Retention = retention
			if v := s.Claim(t.Context(), r); !v.Start {
				t.Errorf("claim %d: %+v", seq, v)
			}
		}
		for i := range uint64(5) {
			claim(i, fmt.Sprint(i), time.Minute)
			s.Finished(ids.Attempt{Entry: "e", Seq: i}, Outcome{Status: 200})
		}
		claim(10, "again", time.Minute)
		s.NotStarted(ids.Attempt{Entry: "e", Seq: 10})
		s.Drain(t.Context())
		claim(11, "again", time.Hour)
		s.Finished(ids.Attempt{Entry: "e", Seq: 11}, Outcome{Status: 200})
		s.Drain(t.Context())
		sweeper := &Sweeper{Table: table, MaxWrites: 4, NewOperation: ids.NewOperation}
		if got, err := sweeper.Sweep(t.Context(), time.Now().Add(30*time.Second)); err != nil || got != (SweepResult{}) {
			t.Errorf("early sweep: %+v, %v", got, err)
		}
		total := 0
		for range 3 {
			got, err := sweeper.Sweep(t.Context(), time.Now().Add(2*time.Minute))
			if err != nil || got.Writes > 4 {
				t.Errorf("sweep: %+v, %v", got, err)
			}
			total += got.Claims
		}
		table.Memory(func(m *memtable.Memory) {
			left := m.List(RowPrefix, "", 10)
			if total != 5 || len(left) != 1 || left[0].Key != RowKey("arriaga", "again") {
				t.Errorf("swept %d, left %v", total, left)
			}
		})
	})
}
