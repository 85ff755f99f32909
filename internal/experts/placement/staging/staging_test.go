package staging_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/staging"
)

const step = 6 * time.Millisecond

var epoch = time.Unix(1_800_000_000, 0)

// TestMain fixes the seed of the random tests so that their results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// transfer is a number of bytes loaded at one time.
type transfer struct {
	at    time.Time
	bytes uint64
}

// maxPerMinute returns the largest number of bytes transferred within any minute.
func maxPerMinute(list []transfer) uint64 {
	most, sum, from := uint64(0), uint64(0), 0
	for _, t := range list {
		sum += t.bytes
		for t.at.Sub(list[from].at) >= time.Minute {
			sum -= list[from].bytes
			from++
		}
		most = max(most, sum)
	}
	return most
}

// Guards against random loads that exceed the slack of a step, the store's rate or the limit of bytes per minute.
func TestStagingKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ranks, size = 3, 4 << 20
		perMinute := rapid.Uint64Range(1<<20, 16<<20).Draw(t, "bytes a minute")
		limits := staging.Limits{StoreRate: rapid.Uint64Range(1<<20, 1<<30).Draw(t, "store"), CopyRate: 1e9}
		var loads []staging.Load
		for range rapid.IntRange(1, 6).Draw(t, "loads") {
			loads = append(loads, staging.Load{Rank: rapid.IntRange(0, ranks-1).Draw(t, "rank"), Bytes: size})
		}
		s := staging.New(limits, staging.NewBudget(perMinute), loads)
		got := make([]uint64, len(loads))
		var list []transfer
		total := uint64(0)
		now := epoch
		for now.Sub(epoch) < 5*time.Minute {
			slack := []time.Duration{0, 0, 0}
			for r := range slack {
				slack[r] = time.Duration(rapid.IntRange(-1, 3).Draw(t, "slack")) * time.Millisecond
			}
			for _, p := range s.Step(now, slack) {
				if copying := time.Duration(p.Bytes); copying > max(0, slack[p.Rank]) {
					t.Fatalf("%v of copying in %v of slack", copying, slack[p.Rank])
				}
				got[p.Load] += p.Bytes
				total += p.Bytes
				list = append(list, transfer{now, p.Bytes})
				if p.Last != (got[p.Load] == size) {
					t.Fatalf("load %d: last %v at %d bytes", p.Load, p.Last, got[p.Load])
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			if allowed := float64(limits.StoreRate)*(now.Sub(epoch).Seconds()+0.05) + 64<<10; float64(total) > allowed {
				t.Fatalf("%d bytes in %v from a store of %d a second", total, now.Sub(epoch), limits.StoreRate)
			}
		}
		if most := maxPerMinute(list); most > perMinute {
			t.Fatalf("%d bytes in a minute, limit %d", most, perMinute)
		}
	})
}

// Guards against two plans within a minute that load twice the limit of bytes, because the second one starts with an
// unused budget.
func TestBudgetIsSharedByPlans(t *testing.T) {
	b := staging.NewBudget(100 << 10)
	limits := staging.Limits{StoreRate: 1 << 30, CopyRate: 1 << 30}
	plan := func(at time.Time) uint64 {
		n := uint64(0)
		for _, p := range staging.New(limits, b, []staging.Load{{Rank: 0, Bytes: 64 << 10}}).Step(at, []time.Duration{time.Second}) {
			n += p.Bytes
		}
		return n
	}
	if n := plan(epoch); n != 64<<10 {
		t.Fatalf("first plan loaded %d", n)
	}
	if n := plan(epoch.Add(30 * time.Second)); n != 0 {
		t.Errorf("second plan of the same minute loaded %d", n)
	}
	if n := plan(epoch.Add(62 * time.Second)); n != 64<<10 {
		t.Errorf("plan of the next minute loaded %d", n)
	}
}

func TestStagingFinishes(t *testing.T) {
	limits := staging.Limits{StoreRate: 500e6, CopyRate: 8e9}
	s := staging.New(limits, staging.NewBudget(1<<40), []staging.Load{{Rank: 0, Bytes: 40 << 20}, {Rank: 1, Bytes: 40 << 20}})
	steps := 0
	for now := epoch; !s.Done(); now = now.Add(step) {
		s.Step(now, []time.Duration{time.Millisecond, time.Millisecond})
		if steps++; steps > 1000 {
			t.Fatal("not done after 1000 steps")
		}
	}
	// 80 MiB at 500 MB/s, less the burst, take about 20 steps.
	if steps < 15 {
		t.Errorf("done after %d steps, faster than the store allows", steps)
	}
	withoutSlack := staging.New(limits, staging.NewBudget(1<<40), []staging.Load{{Rank: 0, Bytes: 40 << 20}})
	if got := withoutSlack.Step(epoch, []time.Duration{0}); len(got) != 0 {
		t.Errorf("%d pieces without slack", len(got))
	}
	limits.IgnoreSlack = true
	stalled := staging.New(limits, staging.NewBudget(1<<40), []staging.Load{{Rank: 0, Bytes: 10 << 20}})
	if got := stalled.Step(epoch, []time.Duration{0}); len(got) != 1 || !got[0].Last {
		t.Errorf("%+v while the group is stalled", got)
	}
}
