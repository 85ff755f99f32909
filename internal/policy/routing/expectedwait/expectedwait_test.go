package expectedwait_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/expectedwait"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
)

var now = time.Unix(1000, 0)

const (
	blockTokens = 64
	prompt      = 10 * blockTokens
)

var blocks = prefix.Hash(make([]byte, 10), 1)

func upstream(id string) *routing.Upstream {
	return &routing.Upstream{
		ID: ids.Upstream(id), Weight: 1, Batch: 4, Work: &routing.Work{}, Cached: prefix.NewBlockSet(64),
		Load: routing.Load{TakenAt: now, StepTime: 10 * time.Millisecond, PromptTokenTime: 100 * time.Microsecond},
	}
}

func request() *routing.Request {
	return &routing.Request{Blocks: blocks, BlockTokens: blockTokens, PromptTokens: prompt, OutputTokens: 50}
}

// others reports work of other entries for u, in a report of the given age.
func others(u *routing.Upstream, c routing.Counts, age time.Duration) {
	u.Load.Total = c
	u.Load.TakenAt = now.Add(-age)
}

func TestPick(t *testing.T) {
	tests := map[string]struct {
		prepare func(a, b *routing.Upstream, req *routing.Request)
		want    string
	}{
		"cached prefix": {func(a, _ *routing.Upstream, _ *routing.Request) { a.Cached.Add(blocks...) }, "a"},
		"long queue outweighs affinity": {func(a, _ *routing.Upstream, _ *routing.Request) {
			a.Cached.Add(blocks...)
			a.Work.Start(routing.Estimate{PromptTokens: 3 * prompt})
		}, "b"},
		"affinity outweighs a short queue": {func(a, _ *routing.Upstream, _ *routing.Request) {
			a.Cached.Add(blocks...)
			a.Work.Start(routing.Estimate{PromptTokens: blockTokens})
		}, "a"},
		"own work that is not reported yet": {func(a, _ *routing.Upstream, _ *routing.Request) {
			a.Work.Start(routing.Estimate{PromptTokens: 2 * prompt})
		}, "b"},
		"others' prompts in a fresh report": {func(a, _ *routing.Upstream, _ *routing.Request) {
			others(a, routing.Counts{Waiting: 3, PromptTokens: 3 * prompt}, 0)
		}, "b"},
		"a full batch": {func(a, _ *routing.Upstream, _ *routing.Request) {
			others(a, routing.Counts{Running: 8, OutputTokens: 8 * 50}, 0)
		}, "b"},
		"a full batch near its end beats a long prompt queue": {func(a, b *routing.Upstream, _ *routing.Request) {
			others(a, routing.Counts{Running: 4, OutputTokens: 4}, 0)
			others(b, routing.Counts{Waiting: 1, PromptTokens: 4 * prompt}, 0)
		}, "a"},
		"the first class goes ahead of others' prompts": {func(a, b *routing.Upstream, req *routing.Request) {
			req.FirstClass = true
			others(a, routing.Counts{Waiting: 3, PromptTokens: 3 * prompt}, 0)
			others(b, routing.Counts{Waiting: 1, PromptTokens: prompt, FirstWaiting: 1, FirstPromptTokens: prompt}, 0)
		}, "a"},
		"a remote data centre": {func(a, _ *routing.Upstream, _ *routing.Request) { a.Latency = 60 * time.Millisecond }, "b"},
		"a missing adapter": {func(_, b *routing.Upstream, req *routing.Request) {
			req.Adapter = "grants"
			b.Adapters = []string{"grants"}
		}, "b"},
		"a slow upstream": {func(a, _ *routing.Upstream, _ *routing.Request) {
			a.Load.PromptTokenTime = 300 * time.Microsecond
		}, "b"},
		"the only one left": {func(a, _ *routing.Upstream, req *routing.Request) {
			a.Cached.Add(blocks...)
			req.Exclude = []ids.Upstream{"a"}
		}, "b"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a, b, c := upstream("a"), upstream("b"), upstream("unusable")
			c.Weight = 0
			req := request()
			tc.prepare(a, b, req)
			p := expectedwait.New([]*routing.Upstream{a, b, c}, expectedwait.Defaults())
			for seed := range uint64(10) {
				req.Rand = routing.Mix(seed, 3)
				choice, err := p.Pick(req, now)
				if err != nil || choice.Upstream.ID != ids.Upstream(tc.want) {
					t.Fatalf("picked %v (%v), want %s", choice.Upstream, err, tc.want)
				}
			}
		})
	}
}

// Guards against entries that all choose the same upstream: they get the same report, in which one of eight upstreams
// is slightly less busy. Otherwise it would get all their requests until the next report, and these would wait there.
func TestEntriesDoNotAllChooseTheSameUpstream(t *testing.T) {
	const entries, perEntry, n = 6, 8, 8
	sent := make(map[ids.Upstream]int)
	for e := range uint64(entries) {
		var list []*routing.Upstream
		for i := range n {
			u := upstream(string(rune('a' + i)))
			others(u, routing.Counts{Waiting: 2, PromptTokens: 1000 - 50*(i/(n-1))}, 100*time.Millisecond)
			list = append(list, u)
		}
		p := expectedwait.New(list, expectedwait.Defaults())
		for i := range uint64(perEntry) {
			req := request()
			req.Rand = routing.Mix(e, i)
			c, err := p.Pick(req, now)
			if err != nil {
				t.Fatal(err)
			}
			c.Upstream.Work.Start(c.Estimate)
			sent[c.Upstream.ID]++
		}
	}
	for id, got := range sent {
		if got != entries*perEntry/n {
			t.Errorf("%s got %d requests, an even share is %d", id, got, entries*perEntry/n)
		}
	}
}

// Guards against a report that still counts when it is seconds old: the prefill of its prompts was done long ago, but
// every request would be sent to the other upstream.
func TestOldReportIsDiscounted(t *testing.T) {
	a, b := upstream("a"), upstream("b")
	others(a, routing.Counts{Waiting: 1, PromptTokens: prompt}, 30*time.Second)
	p := expectedwait.New([]*routing.Upstream{a, b}, expectedwait.Defaults())
	seen := make(map[ids.Upstream]bool)
	for seed := range uint64(50) {
		req := request()
		req.Rand = routing.Mix(seed, 4)
		c, err := p.Pick(req, now)
		if err != nil {
			t.Fatal(err)
		}
		seen[c.Upstream.ID] = true
	}
	if !seen["a"] || !seen["b"] {
		t.Fatalf("picked only %v", seen)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 64} {
		b.Run(map[int]string{16: "16", 64: "64"}[n], func(b *testing.B) {
			var list []*routing.Upstream
			for i := range n {
				list = append(list, upstream(string(rune('A'+i))))
			}
			p := expectedwait.New(list, expectedwait.Defaults())
			req := request()
			b.ReportAllocs()
			for i := range uint64(b.N) {
				req.Rand = i
				if _, err := p.Pick(req, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
