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

// inStore runs f with a running store inside a bubble of synthetic time.
func inStore(t *testing.T, plan memtable.Plan, f func(t *testing.T, s *Store, table *memtable.Table)) {
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

func nowRequest(seq uint64, key string, patience time.Duration) Request {
	r := request(seq, key, "a")
	r.Deadline = time.Now().Add(patience)
	return r
}

// Two hundred callers at once each get one start, in a handful of transactions.
func TestStoreGroupsClaims(t *testing.T) {
	inStore(t, nil, func(t *testing.T, s *Store, table *memtable.Table) {
		var wg sync.WaitGroup
		for i := range uint64(200) {
			wg.Go(func() {
				if v := s.Claim(t.Context(), nowRequest(i, fmt.Sprint(i), time.Minute)); !v.Start {
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

// The caller whose claim cannot be written is refused as not run at once when the table says that it is down, and at
// its deadline when the table says nothing.
func TestStoreRefusesDuringAnOutage(t *testing.T) {
	fault, delay := memtable.Unavailable, time.Duration(0)
	plan := func() (memtable.Fault, time.Duration) { return fault, delay }
	inStore(t, plan, func(t *testing.T, s *Store, table *memtable.Table) {
		v := s.Claim(t.Context(), nowRequest(1, "a", 5*time.Second))
		if v.Refusal == nil || v.Refusal.Code != failure.CodeStoreUnavailable || v.Refusal.Proof != failure.ProofRefusedBeforeStart {
			t.Errorf("refused by the table: %+v", v)
		}
		table.SetPlan(func() (memtable.Fault, time.Duration) { return memtable.None, time.Hour })
		begin := time.Now()
		v = s.Claim(t.Context(), nowRequest(2, "a", 5*time.Second))
		if v.Refusal == nil || v.Refusal.Code != failure.CodeDeadlineUnmet || time.Since(begin) != 5*time.Second {
			t.Errorf("silent table: %+v after %v", v, time.Since(begin))
		}
		table.SetPlan(nil)
		s.Drain(t.Context())
	})
}

// The caller hangs up while its claim is being written: the request does not run, and the key is free again.
func TestStoreReleasesWhatItsCallerGaveUp(t *testing.T) {
	slow := func() (memtable.Fault, time.Duration) { return memtable.None, 500 * time.Millisecond }
	inStore(t, slow, func(t *testing.T, s *Store, table *memtable.Table) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		v := s.Claim(ctx, nowRequest(1, "a", time.Minute))
		if v.Refusal == nil || v.Refusal.Code != failure.CodeCancelled {
			t.Errorf("cancelled claim: %+v", v)
		}
		s.Drain(t.Context())
		if v := s.Claim(t.Context(), nowRequest(2, "a", time.Minute)); !v.Start {
			t.Errorf("after the release: %+v", v)
		}
		s.NotStarted(ids.Attempt{Entry: "e", Seq: 2})
		s.Drain(t.Context())
	})
}

// The operator sees the table shrink again: expired claims go, a claim made again under the same key stays.
func TestSweeperRemovesWhatExpired(t *testing.T) {
	inStore(t, nil, func(t *testing.T, s *Store, table *memtable.Table) {
		claim := func(seq uint64, key string, keep time.Duration) {
			r := nowRequest(seq, key, time.Second)
			r.Keep = keep
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
