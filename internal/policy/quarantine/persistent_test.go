package quarantine

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/faulttest/memtable"
)

// Guards against an entry that admits a request which crashes upstreams, because it starts later and receives no
// digest, so that only the table has the refusal. The table is unavailable at first and then loses requests and
// responses, while two entries write the same row. Once the quarantine and the override are over, the row is deleted.
func TestEveryEntryLoadsRefusalFromTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(func() (memtable.Fault, time.Duration) { return memtable.Unavailable, 0 })
		ctx, cancel := context.WithCancel(t.Context())
		tracker := func() *PersistentTracker {
			p := NewPersistentTracker(table, Rules{Period: quarantineLength}, DefaultPersistentTrackerOptions())
			go p.Run(ctx)
			return p
		}
		level := func(p *PersistentTracker) Level {
			got, _ := p.Snapshot().Classify(time.Now(), poison.Fingerprint)
			return got
		}
		a, b := tracker(), tracker()
		a.Merge(time.Now(), Crash{ID: 1, At: time.Now(), Ran: []Running{poison}, RanAlone: true}.Suspects()...)
		b.Merge(time.Now(), Crash{ID: 2, At: time.Now(), Ran: []Running{poison}, RanAlone: true}.Suspects()...)
		time.Sleep(time.Minute)
		rng := rand.New(rand.NewPCG(1, 1))
		table.SetPlan(func() (memtable.Fault, time.Duration) {
			return []memtable.Fault{memtable.None, memtable.ResponseLost, memtable.RequestLost}[rng.IntN(3)], 0
		})
		time.Sleep(time.Minute)
		late := tracker()
		time.Sleep(time.Minute)
		if level(late) != Refused {
			t.Error("an entry that starts later admits the request")
		}
		if n := len(late.List(time.Now())[0].Evidence); n != 2 {
			t.Errorf("%d crashes in the row, want those of both entries", n)
		}
		trust := Override{Kind: cardamomyokev1.OverrideKind_OVERRIDE_KIND_TRUST, Until: time.Now().Add(time.Hour), Stamp: time.Now()}
		late.Override(time.Now(), poison.Fingerprint, trust)
		time.Sleep(time.Minute)
		if level(a) != Clear || level(b) != Clear {
			t.Error("the trust override has not reached every entry")
		}
		table.SetPlan(nil)
		time.Sleep(2 * (quarantineLength + evidenceRetention))
		table.Memory(func(m *memtable.Memory) {
			if rows := m.List(RowPrefix, "", 10); len(rows) != 0 {
				t.Errorf("%d rows remain", len(rows))
			}
		})
		cancel()
		synctest.Wait()
	})
}

// Guards against an entry that admits a request which crashes upstreams, because its row comes after more rows than one read
// returns.
func TestRowsBeyondOneReadAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspects, rowsPerRead = 25, 10
		table := memtable.New(nil)
		ctx, cancel := context.WithCancel(t.Context())
		options := DefaultPersistentTrackerOptions()
		options.MaxRows = rowsPerRead
		first := NewPersistentTracker(table, Rules{Period: quarantineLength}, options)
		go first.Run(ctx)
		for i := range suspects {
			running := Running{Fingerprint: Fingerprint{byte(i)}, Client: "c"}
			first.Merge(time.Now(), Crash{ID: CrashID(1 + i), At: time.Now(), Ran: []Running{running}, RanAlone: true}.Suspects()...)
		}
		time.Sleep(5 * time.Second)
		late := NewPersistentTracker(table, Rules{Period: quarantineLength}, options)
		go late.Run(ctx)
		time.Sleep(5 * time.Second)
		if got := len(late.List(time.Now())); got != suspects {
			t.Errorf("%d of %d suspects were loaded", got, suspects)
		}
		cancel()
		synctest.Wait()
	})
}
