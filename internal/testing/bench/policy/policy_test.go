package policy

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
)

// Guards against an unnoticed change of the trace, for example while a policy is tuned. The figures in
// docs/measurements.md are valid for this trace only.
func TestTraceChecksum(t *testing.T) {
	const want = "1fa7a7f8770100ae"
	h := fnv.New64a()
	for _, shared := range []bool{true, false} {
		s := newSource(1, shared)
		at := epoch
		for range 2000 {
			a := s.generate(at, 100)
			at = a.at
			fmt.Fprintln(h, a.at.UnixNano(), a.client, a.class, a.blocks, a.output, a.entryOf(entries))
		}
	}
	if got := fmt.Sprintf("%016x", h.Sum64()); got != want {
		t.Fatalf("trace has checksum %s, want %s", got, want)
	}
}

// Guards against an eviction of blocks that were used recently, and against wrong cache events.
func TestLRUEviction(t *testing.T) {
	c := newLRU(4)
	c.store([]uint64{1, 2})
	c.store([]uint64{3, 4})
	c.touch([]uint64{1, 2})
	c.store([]uint64{5})
	if got := []int{c.peek([]uint64{1, 2}), c.peek([]uint64{3, 4}), c.peek([]uint64{5})}; !cmp.Equal([]int{2, 1, 1}, got) {
		t.Fatalf("cached blocks of the three prefixes: %v", got)
	}
	stored, evicted := c.takeEvents()
	if len(stored) != 5 || !cmp.Equal([]uint64{4}, evicted) {
		t.Fatalf("stored %v, evicted %v", stored, evicted)
	}
}

// runAlone runs one job on an idle runner and returns the times from its submission to its first and last token.
func runAlone(t *testing.T, r *runner, j *job) (first, last time.Duration) {
	t.Helper()
	start := r.clock.now
	j.onToken = func(int) {
		last = r.clock.now.Sub(start)
		if first == 0 {
			first = last
		}
	}
	ended := false
	j.onEnd = func() { ended = true }
	r.submit(j)
	r.clock.run(start.Add(time.Minute))
	if !ended {
		t.Fatal("the job did not end")
	}
	return first, last
}

// Guards against a wrong time model of the runner: a prompt takes one step for each chunk, a cached prompt one short
// step, and each further token one step.
func TestRunnerComputesPromptInChunksAndCachesIt(t *testing.T) {
	r := newRunner(newClock(), "r", 0)
	blocks := make([]uint64, 16)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
	}
	prompt := len(blocks) * blockTokens
	chunk := stepBase + chunkTokens*stepPerToken
	first, last := runAlone(t, r, &job{blocks: blocks, prompt: prompt, output: 11})
	if want := 2 * chunk; first != want {
		t.Errorf("first token of a cold prompt after %v, want %v", first, want)
	}
	if want := first + 10*(stepBase+stepPerRequest); last != want {
		t.Errorf("last token after %v, want %v", last, want)
	}
	if first, _ = runAlone(t, r, &job{blocks: blocks, prompt: prompt, output: 1}); first != stepBase+stepPerToken {
		t.Errorf("first token of a cached prompt after %v", first)
	}
}

// Guards against a runner that computes the prompt of a waiting second-class request before that of a first-class one,
// or runs a cancelled request.
func TestRunnerPrioritiesAndCancellation(t *testing.T) {
	r := newRunner(newClock(), "r", 0)
	var order []string
	add := func(name string, priority int) *job {
		j := &job{priority: priority, prompt: chunkTokens, output: 1, onEnd: func() {}}
		j.onToken = func(int) { order = append(order, name) }
		r.submit(j)
		return j
	}
	add("second-1", 1)
	add("second-2", 1)
	cancelled := add("cancelled", 0)
	add("first", 0)
	r.cancel(cancelled)
	r.clock.run(epoch.Add(time.Second))
	if diff := cmp.Diff([]string{"second-1", "first", "second-2"}, order); diff != "" {
		t.Fatal(diff)
	}
	if c := r.counts(allEntries); c.Requests() != 0 {
		t.Fatalf("left over: %+v", c)
	}
}

// Guards against a wrong fair share when the demands fit, when one client floods and when all demands are capped.
func TestMaxMinLevel(t *testing.T) {
	tests := map[string]struct {
		demand map[ids.Client]float64
		total  float64
		want   float64
	}{
		"all satisfied": {map[ids.Client]float64{"a": 1, "b": 2}, 3, 2},
		"one floods":    {map[ids.Client]float64{"a": 1, "b": 100}, 10, 9},
		"all capped":    {map[ids.Client]float64{"a": 10, "b": 20, "c": 30}, 9, 3},
	}
	for name, tc := range tests {
		if got := maxMinLevel(tc.demand, tc.total); got != tc.want {
			t.Errorf("%s: level %v, want %v", name, got, tc.want)
		}
	}
}

// shortSetup returns a short run in which load 1 is 320 requests per second.
func shortSetup(load float64) setup {
	return setup{
		seed: 7, rate: load * 320, sharedPrefixes: true, policy: policyExpectedWait, admit: admitFair, retries: retriesBudget,
		duration: 13 * time.Second, warmup: time.Second,
	}
}

// Guards against a run that depends on more than its seed, and against requests without an outcome: each one must
// be completed or refused, fail, or miss its deadline.
func TestSimulationIsDeterministicAndAccountsForAllRequests(t *testing.T) {
	a, b := simulate(shortSetup(2)), simulate(shortSetup(2))
	if a.offeredN != b.offeredN || a.completedN != b.completedN || ttftP95(a) != ttftP95(b) || a.goodTokens != b.goodTokens {
		t.Fatalf("two runs of the same seed: %d/%d and %d/%d completed", a.completedN, a.offeredN, b.completedN, b.offeredN)
	}
	if sum := a.completedN + a.refusedN + a.missedN + a.failedN; sum != a.offeredN || a.completedN == 0 || a.refusedN == 0 {
		t.Fatalf("of %d offered, %d completed, %d refused, %d missed, %d failed", a.offeredN, a.completedN, a.refusedN, a.missedN, a.failedN)
	}
}

// Guards against a report that hides an unmet criterion. All cells hold the same result, so that no policy is better
// than its baseline.
func TestWriteReportsUnmetCriteria(t *testing.T) {
	r := &Results{settings: Settings{Seed: 1, Seeds: 1}, results: make(map[cell][]*result), saturationRates: map[string][]float64{}}
	same := simulate(shortSetup(0.5))
	for _, c := range cells() {
		r.results[c] = []*result{same}
	}
	var out bytes.Buffer
	ok, err := r.Write(&out)
	if err != nil || ok {
		t.Fatalf("a policy equal to its baseline cannot meet a ratio of %v: %v, %v", maxSharedRatio, ok, err)
	}
	text := out.String()
	for _, want := range []string{
		"short p95 of the first token over random-of-two's, shared prefixes, load 0.7, after admission: 1, at most 0.7",
		"ok    p95 of the first token over random-of-two's, distinct prompts, load 3.0, from arrival: 1, at most 1.05",
		"ok    goodput at 3 times load over that at 1, shared prefixes: 1, at least 0.95",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no line %q in\n%s", want, text)
		}
	}
}

// Guards against a slot that reports to an entry twice or not at all when the subset size exceeds the number of local
// entries, and against a rendezvous choice that changes when the entries that were not chosen leave.
// reportsPerEntry returns the most and the least slots of one model that report to an entry.
func reportsPerEntry(w *subsetWorld, local []int) (most, least int) {
	nextIndex := make([]int, targetModels)
	reports := make(map[int]int)
	const slots = 30
	for i := range slots {
		for _, e := range w.targetsOf(i, &subsetRunner{model: 0}, local, nextIndex) {
			reports[e]++
		}
	}
	least = slots
	for _, e := range local {
		most, least = max(most, reports[e]), min(least, reports[e])
	}
	return most, least
}

func TestSubsetTargets(t *testing.T) {
	w := &subsetWorld{setup: subsetSetup{seed: 1, size: 8, rule: chooseEven}}
	local := []int{0, 6, 12, 18, 24, 30}
	nextIndex := make([]int, targetModels)
	reports := make(map[int]int)
	for i := range 30 {
		for _, e := range w.targetsOf(i, &subsetRunner{model: i % targetModels}, local[:5], nextIndex) {
			reports[e]++
		}
	}
	if diff := cmp.Diff(map[int]int{0: 30, 6: 30, 12: 30, 18: 30, 24: 30}, reports); diff != "" {
		t.Fatal(diff)
	}
	for rule, even := range map[string]bool{chooseEven: true, chooseRendezvous: false} {
		w.setup = subsetSetup{seed: 1, size: 2, rule: rule}
		if most, least := reportsPerEntry(w, local); (most-least <= 1) != even {
			t.Errorf("%s: an entry gets the reports of %d to %d slots", rule, least, most)
		}
	}
	w.setup = subsetSetup{seed: 1, size: 2, rule: chooseRendezvous}
	before := w.targetsOf(3, &subsetRunner{}, local, nextIndex)
	after := w.targetsOf(3, &subsetRunner{}, append([]int{}, before...), nextIndex)
	if !cmp.Equal(before, after) {
		t.Fatalf("targets %v, and %v after the other entries left", before, after)
	}
}
