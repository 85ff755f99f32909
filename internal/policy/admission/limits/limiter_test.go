package limits_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/admission/limits"
)

var begin = time.Unix(1000, 0)

const client ids.Client = "c"

// cluster is a set of limiters that exchange reports once per second, unless they are partitioned.
type cluster struct {
	names    []ids.Node
	limiters map[ids.Node]*limits.Limiter
	entrySet *limits.EntrySet
	// partition is the network partition that each entry is in.
	partition map[ids.Node]int
	now       time.Time
	rng       *rand.Rand
	// sent counts the records that were sent.
	sent int
}

func newCluster(n int, limit limits.Limit) *cluster {
	c := &cluster{limiters: make(map[ids.Node]*limits.Limiter), partition: make(map[ids.Node]int), now: begin, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		name := ids.Node(fmt.Sprintf("entry-%02d", i))
		c.names = append(c.names, name)
		c.limiters[name] = limits.New(limits.Defaults(), n)
		c.limiters[name].SetLimits(map[ids.Client]limits.Limit{client: limit})
	}
	c.entrySet = limits.NewEntrySet(c.names)
	return c
}

// run sends requests of a client at a total rate for some seconds, spread over the given entries, and returns the
// number of granted requests in each second.
func (c *cluster) run(seconds, perSecond int, tokens float64, at []ids.Node) []int {
	granted := make([]int, seconds)
	for s := range seconds {
		c.exchange()
		for i := range perSecond {
			node := at[c.rng.IntN(len(at))]
			now := c.now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			if c.limiters[node].Consume(client, tokens, now) == nil {
				granted[s]++
			}
		}
		c.now = c.now.Add(time.Second)
	}
	return granted
}

func (c *cluster) exchange() {
	for _, from := range c.names {
		report := c.limiters[from].Report(c.now)
		for to, records := range c.entrySet.Recipients(from, report) {
			if c.partition[from] != c.partition[to] {
				continue
			}
			c.sent += len(records)
			sums := c.limiters[to].MergeReport(from, records, c.now)
			if !c.entrySet.FullExchange() {
				c.limiters[from].MergeSums(sums, c.now)
			}
		}
	}
}

func meanPerSecond(seconds []int) float64 {
	sum := 0
	for _, n := range seconds {
		sum += n
	}
	return float64(sum) / float64(len(seconds))
}

func TestALimitHoldsOverAllEntries(t *testing.T) {
	for _, n := range []int{1, 6, 40} {
		c := newCluster(n, limits.Limit{RequestsPerSecond: 100})
		granted := c.run(20, 500, 1, c.names)
		if got := meanPerSecond(granted[5:]); got < 90 || got > 110 {
			t.Errorf("%d entries: %.0f requests a second with a limit of 100", n, got)
		}
		if got := meanPerSecond(granted); got > 120 {
			t.Errorf("%d entries: %.0f requests a second from the start on", n, got)
		}
	}
}

func TestATokenLimitHoldsOverAllEntries(t *testing.T) {
	c := newCluster(6, limits.Limit{TokensPerSecond: 1000})
	if got := 50 * meanPerSecond(c.run(20, 100, 50, c.names)[5:]); got < 900 || got > 1100 {
		t.Errorf("%.0f tokens a second with a limit of 1000", got)
	}
}

// Guards against an even split of the limit when all callers of a client use the address of one entry: they must get
// the full limit there.
func TestTheLimitFollowsTheDemand(t *testing.T) {
	c := newCluster(6, limits.Limit{RequestsPerSecond: 100})
	if got := meanPerSecond(c.run(20, 500, 1, c.names[:1])[5:]); got < 90 || got > 110 {
		t.Errorf("%.0f requests a second at one entry with a limit of 100", got)
	}
	if got := meanPerSecond(c.run(20, 500, 1, c.names[3:4])[5:]); got < 90 || got > 110 {
		t.Errorf("%.0f requests a second after the callers moved", got)
	}
}

// Guards against an unbounded overrun while the data centres are partitioned. For Options.HoldFor nothing changes,
// because each partition keeps counting the last known demand of the others. After that k partitions together grant at
// most k times the limit. When they are joined again, the limit holds within seconds.
func TestOverrunWhilePartitioned(t *testing.T) {
	const limit = 100.0
	for _, partitions := range []int{2, 3} {
		c := newCluster(6, limits.Limit{RequestsPerSecond: limit})
		c.run(10, 500, 1, c.names)
		for i, name := range c.names {
			c.partition[name] = i % partitions
		}
		hold := int(limits.Defaults().HoldFor / time.Second)
		if got := meanPerSecond(c.run(hold-5, 500, 1, c.names)) / limit; got > 1.1 {
			t.Errorf("%d partitions: %.2f times the limit while the others' demand is held", partitions, got)
		}
		c.run(10, 500, 1, c.names)
		if got := meanPerSecond(c.run(20, 500, 1, c.names)) / limit; got > 1.1*float64(partitions) || got < 0.9*float64(partitions) {
			t.Errorf("%d partitions: %.2f times the limit after that", partitions, got)
		}
		clear(c.partition)
		if got := meanPerSecond(c.run(20, 500, 1, c.names)[4:]) / limit; got > 1.1 {
			t.Errorf("%d partitions: %.2f times the limit after they were joined", partitions, got)
		}
	}
}

// Guards against demand that is counted twice for long: an entry dies, and its callers move to the others while its
// last report still counts.
func TestDeadEntryIsForgotten(t *testing.T) {
	c := newCluster(3, limits.Limit{RequestsPerSecond: 100})
	c.run(10, 300, 1, c.names)
	dead := c.names[2]
	c.partition[dead] = 1
	c.run(3, 300, 1, c.names[:2])
	held := meanPerSecond(c.run(5, 300, 1, c.names[:2]))
	for _, name := range c.names[:2] {
		c.limiters[name].Forget(dead)
	}
	freed := meanPerSecond(c.run(5, 300, 1, c.names[:2])[1:])
	if held > 85 || freed < 90 {
		t.Fatalf("%.0f a second while the dead entry's demand was held, %.0f after it was forgotten", held, freed)
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	l := limits.New(limits.Defaults(), 1)
	l.SetLimits(map[ids.Client]limits.Limit{client: {TokensPerSecond: 100}})
	if err := l.Consume(client, 350, begin); err != nil {
		t.Fatalf("a request larger than a burst was refused: %v", err)
	}
	f := failure.From(l.Consume(client, 1, begin))
	if f.Code != failure.CodeOverLimit || f.RetryAfter != 3*time.Second || f.Proof != failure.ProofNeverSent {
		t.Fatalf("got %v, retry after %v", f, f.RetryAfter)
	}
	if err := l.Consume(client, 1, begin.Add(f.RetryAfter)); err != nil {
		t.Fatalf("refused again after the Retry-After: %v", err)
	}
	if err := l.Consume("unlimited", 1e9, begin); err != nil {
		t.Fatal(err)
	}
}

// Guards against a report that exceeds its size limit, or drops the clients with the most demand, when 30,000 accounts
// send requests to one entry.
func TestAReportIsBounded(t *testing.T) {
	l := limits.New(limits.Defaults(), 360)
	for i := range 30_000 {
		_ = l.Consume(ids.Client(fmt.Sprintf("client-%05d", i)), float64(i+1), begin)
	}
	report := l.Report(begin)
	if len(report) != limits.Defaults().MaxRecords || report[0].Client != "client-29999" {
		t.Fatalf("%d records, the first for %s", len(report), report[0].Client)
	}
	if again := l.Report(begin.Add(time.Minute)); len(again) != 0 {
		t.Fatalf("%d records a minute after the last request", len(again))
	}
}

func TestQuota(t *testing.T) {
	// The flooder sends 1000 tokens per second to each of two entries; the modest client sends 100, all to the first
	// entry. Of a capacity of 400 the modest client gets its 100 and the flooder 300, half of it at each entry.
	c := newCluster(2, limits.Limit{})
	for i := range 10 * 100 {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, name := range c.names {
			_ = c.limiters[name].Consume("flooder", 10, now)
		}
		_ = c.limiters[c.names[0]].Consume("modest", 1, now)
		c.now = now
	}
	c.exchange()
	got := make(map[ids.Node]float64)
	for _, name := range c.names {
		got[name] = c.limiters[name].Quota(400, func(ids.Client) float64 { return 1 }, c.now)
	}
	want := map[ids.Node]float64{c.names[0]: 250.0 / 400, c.names[1]: 150.0 / 400}
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0.02, 0)); diff != "" {
		t.Fatal(diff)
	}
}

func TestClientsAreSpreadOverAggregators(t *testing.T) {
	names := newCluster(40, limits.Limit{}).names
	entrySet := limits.NewEntrySet(names)
	counts := make(map[ids.Node]int)
	for i := range 30_000 {
		counts[entrySet.Aggregator(ids.Client(fmt.Sprintf("client-%d", i)))]++
	}
	if most := slices.Max(slices.Collect(maps.Values(counts))); len(counts) != 40 || most > 30_000/40*3/2 {
		t.Fatalf("%d entries aggregate, the busiest for %d clients", len(counts), most)
	}
}

func BenchmarkConsume(b *testing.B) {
	l := limits.New(limits.Defaults(), 6)
	l.SetLimits(map[ids.Client]limits.Limit{client: {RequestsPerSecond: 1e9}})
	b.ReportAllocs()
	for i := range b.N {
		_ = l.Consume(client, 1, begin.Add(time.Duration(i)))
	}
}
