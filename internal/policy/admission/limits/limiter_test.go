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

// entries is a set of limiters that tell each other their usage once a second, unless they are cut off.
type entries struct {
	names    []ids.Node
	limiters map[ids.Node]*limits.Limiter
	ring     *limits.Ring
	// part tells which part of a cut each entry is in.
	part map[ids.Node]int
	now  time.Time
	rng  *rand.Rand
	// sent counts the records that went out.
	sent int
}

func newEntries(n int, limit limits.Limit) *entries {
	e := &entries{limiters: make(map[ids.Node]*limits.Limiter), part: make(map[ids.Node]int), now: begin, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		name := ids.Node(fmt.Sprintf("entry-%02d", i))
		e.names = append(e.names, name)
		e.limiters[name] = limits.New(limits.Defaults(), n)
		e.limiters[name].SetLimits(map[ids.Client]limits.Limit{client: limit})
	}
	e.ring = limits.NewRing(e.names)
	return e
}

// run offers requests of a client at the given total rate for some seconds, spread over the named entries, and
// returns how many each second were granted.
func (e *entries) run(seconds, perSecond int, tokens float64, at []ids.Node) []int {
	granted := make([]int, seconds)
	for s := range seconds {
		e.exchange()
		for i := range perSecond {
			node := at[e.rng.IntN(len(at))]
			now := e.now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			if e.limiters[node].Consume(client, tokens, now) == nil {
				granted[s]++
			}
		}
		e.now = e.now.Add(time.Second)
	}
	return granted
}

func (e *entries) exchange() {
	for _, from := range e.names {
		report := e.limiters[from].Report(e.now)
		for to, records := range e.ring.Address(from, report) {
			if e.part[from] != e.part[to] {
				continue
			}
			e.sent += len(records)
			sums := e.limiters[to].MergeReport(from, records, e.now)
			if !e.ring.Full() {
				e.limiters[from].MergeSums(sums, e.now)
			}
		}
	}
}

func total(seconds []int) float64 {
	sum := 0
	for _, n := range seconds {
		sum += n
	}
	return float64(sum) / float64(len(seconds))
}

func TestALimitHoldsOverAllEntries(t *testing.T) {
	for _, n := range []int{1, 6, 40} {
		e := newEntries(n, limits.Limit{RequestsPerSecond: 100})
		granted := e.run(20, 500, 1, e.names)
		if got := total(granted[5:]); got < 90 || got > 110 {
			t.Errorf("%d entries: %.0f requests a second with a limit of 100", n, got)
		}
		if got := total(granted); got > 120 {
			t.Errorf("%d entries: %.0f requests a second from the start on", n, got)
		}
	}
}

func TestATokenLimitHoldsOverAllEntries(t *testing.T) {
	e := newEntries(6, limits.Limit{TokensPerSecond: 1000})
	if got := 50 * total(e.run(20, 100, 50, e.names)[5:]); got < 900 || got > 1100 {
		t.Errorf("%.0f tokens a second with a limit of 1000", got)
	}
}

// All of a client's callers hold the address of one entry. They must get the whole limit there, not an even part.
func TestTheLimitFollowsTheDemand(t *testing.T) {
	e := newEntries(6, limits.Limit{RequestsPerSecond: 100})
	if got := total(e.run(20, 500, 1, e.names[:1])[5:]); got < 90 || got > 110 {
		t.Errorf("%.0f requests a second at one entry with a limit of 100", got)
	}
	if got := total(e.run(20, 500, 1, e.names[3:4])[5:]); got < 90 || got > 110 {
		t.Errorf("%.0f requests a second after the callers moved", got)
	}
}

// The regions lose each other. For Hold nothing changes, because each part goes on counting what the other was last
// known to ask for; after that each part grants the whole limit, so k parts grant at most k times the limit. When
// they meet again the limit holds within seconds.
func TestOverrunWhileCutOff(t *testing.T) {
	const limit = 100.0
	for _, parts := range []int{2, 3} {
		e := newEntries(6, limits.Limit{RequestsPerSecond: limit})
		e.run(10, 500, 1, e.names)
		for i, name := range e.names {
			e.part[name] = i % parts
		}
		hold := int(limits.Defaults().Hold / time.Second)
		if got := total(e.run(hold-5, 500, 1, e.names)) / limit; got > 1.1 {
			t.Errorf("%d parts: %.2f times the limit while the others' demand is held", parts, got)
		}
		e.run(10, 500, 1, e.names)
		if got := total(e.run(20, 500, 1, e.names)) / limit; got > 1.1*float64(parts) || got < 0.9*float64(parts) {
			t.Errorf("%d parts: %.2f times the limit after that", parts, got)
		}
		clear(e.part)
		if got := total(e.run(20, 500, 1, e.names)[4:]) / limit; got > 1.1 {
			t.Errorf("%d parts: %.2f times the limit after they met again", parts, got)
		}
	}
}

// An entry dies and its callers move to the others. Its demand counts twice until it is known as gone, and then no more.
func TestAGoneEntryIsForgotten(t *testing.T) {
	e := newEntries(3, limits.Limit{RequestsPerSecond: 100})
	e.run(10, 300, 1, e.names)
	dead := e.names[2]
	e.part[dead] = 1
	e.run(3, 300, 1, e.names[:2])
	held := total(e.run(5, 300, 1, e.names[:2]))
	for _, name := range e.names[:2] {
		e.limiters[name].Forget(dead)
	}
	freed := total(e.run(5, 300, 1, e.names[:2])[1:])
	if held > 85 || freed < 90 {
		t.Fatalf("%.0f a second while the dead entry's demand was held, %.0f after it was forgotten", held, freed)
	}
}

func TestARefusalSaysWhenToComeBack(t *testing.T) {
	l := limits.New(limits.Defaults(), 1)
	l.SetLimits(map[ids.Client]limits.Limit{client: {TokensPerSecond: 100}})
	if err := l.Consume(client, 350, begin); err != nil {
		t.Fatalf("a request larger than a burst can never run: %v", err)
	}
	f := failure.From(l.Consume(client, 1, begin))
	if f.Code != failure.CodeOverLimit || f.RetryAfter != 3*time.Second || f.Proof != failure.ProofNeverSent {
		t.Fatalf("got %v, retry after %v", f, f.RetryAfter)
	}
	if err := l.Consume(client, 1, begin.Add(f.RetryAfter)); err != nil {
		t.Fatalf("refused again at the time that was said: %v", err)
	}
	if err := l.Consume("unlimited", 1e9, begin); err != nil {
		t.Fatal(err)
	}
}

// 30,000 accounts all ask one entry: its report must stay within its budget, and name those that matter most.
func TestAReportIsBounded(t *testing.T) {
	l := limits.New(limits.Defaults(), 360)
	for i := range 30_000 {
		_ = l.Consume(ids.Client(fmt.Sprintf("client-%05d", i)), float64(i+1), begin)
	}
	report := l.Report(begin)
	if len(report) != limits.Defaults().MaxRecords || report[0].Client != "client-29999" {
		t.Fatalf("%d records, the first of %s", len(report), report[0].Client)
	}
	if again := l.Report(begin.Add(time.Minute)); len(again) != 0 {
		t.Fatalf("%d records a minute after the last request", len(again))
	}
}

func TestQuota(t *testing.T) {
	// The flooder asks two entries alike for 1000 tokens a second each; the modest client asks for 100, all at the
	// first entry. Of a capacity of 400 the modest client gets its 100 and the flooder 300, half of it at each entry.
	e := newEntries(2, limits.Limit{})
	for i := range 10 * 100 {
		now := begin.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, name := range e.names {
			_ = e.limiters[name].Consume("flooder", 10, now)
		}
		_ = e.limiters[e.names[0]].Consume("modest", 1, now)
		e.now = now
	}
	e.exchange()
	got := make(map[ids.Node]float64)
	for _, name := range e.names {
		got[name] = e.limiters[name].Quota(400, func(ids.Client) float64 { return 1 }, e.now)
	}
	want := map[ids.Node]float64{e.names[0]: 250.0 / 400, e.names[1]: 150.0 / 400}
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0.02, 0)); diff != "" {
		t.Fatal(diff)
	}
}

func TestTheRingSpreadsClientsOverEntries(t *testing.T) {
	names := newEntries(40, limits.Limit{}).names
	ring := limits.NewRing(names)
	counts := make(map[ids.Node]int)
	for i := range 30_000 {
		counts[ring.Aggregator(ids.Client(fmt.Sprintf("client-%d", i)))]++
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
