package routing_test

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/leastrequests"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/randomtwo"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/roundrobin"
)

var now = time.Unix(1000, 0)

func upstream(id string, weight float64, versions ...string) *routing.Upstream {
	return &routing.Upstream{ID: ids.Upstream(id), Weight: weight, Batch: 4, Work: &routing.Work{}, Versions: versions}
}

func TestUsable(t *testing.T) {
	all := []*routing.Upstream{upstream("out", 0), upstream("old", 1, "v1"), upstream("new", 1, "v2"), upstream("silent-on-versions", 1)}
	tests := map[string]struct {
		req  routing.Request
		want []ids.Upstream
		err  *routing.NoUpstreamError
	}{
		"any":      {routing.Request{}, []ids.Upstream{"old", "new", "silent-on-versions"}, nil},
		"version":  {routing.Request{Version: "v2"}, []ids.Upstream{"new", "silent-on-versions"}, nil},
		"excluded": {routing.Request{Exclude: []ids.Upstream{"new"}}, []ids.Upstream{"old", "silent-on-versions"}, nil},
		"none": {
			routing.Request{Version: "v2", Exclude: []ids.Upstream{"new", "silent-on-versions"}}, nil,
			&routing.NoUpstreamError{Known: 4, ZeroWeight: 1, Excluded: 2, WithoutVersion: 1},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			usable, err := routing.Usable(all, &tc.req, nil)
			var got []ids.Upstream
			for _, u := range usable {
				got = append(got, u.ID)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
			var cause *routing.NoUpstreamError
			errors.As(err, &cause)
			if diff := cmp.Diff(tc.err, cause); diff != "" {
				t.Error(diff)
			}
			if tc.err != nil && failure.CodeOf(err) != failure.CodeNoUpstream {
				t.Errorf("code %s", failure.CodeOf(err))
			}
		})
	}
}

// Guards against callers that are refused because all weights are low, as when every upstream is returning from a
// fault.
func TestUsableFallsBackToLowWeights(t *testing.T) {
	all := []*routing.Upstream{upstream("a", 0.01), upstream("b", 0.01)}
	for seed := range uint64(100) {
		if _, err := routing.Usable(all, &routing.Request{Rand: routing.Mix(seed, 0)}, nil); err != nil {
			t.Fatal(err)
		}
	}
}

func TestWeightIsTheFractionOfPicks(t *testing.T) {
	all := []*routing.Upstream{upstream("low", 0.25), upstream("full", 1)}
	rng := rand.New(rand.NewPCG(1, 1))
	const picks = 20_000
	low := 0
	for range picks {
		usable, err := routing.Usable(all, &routing.Request{Rand: rng.Uint64()}, nil)
		if err != nil {
			t.Fatal(err)
		}
		if usable[0].ID == "low" {
			low++
		}
	}
	if fraction := float64(low) / picks; fraction < 0.23 || fraction > 0.27 {
		t.Fatalf("an upstream of weight 0.25 was usable in %.3f of the picks", fraction)
	}
}

func TestBaselines(t *testing.T) {
	busy, idle := upstream("busy", 1), upstream("idle", 1)
	for range 3 {
		busy.Work.Start(routing.Estimate{})
	}
	all := []*routing.Upstream{busy, idle}
	for name, p := range map[string]routing.Picker{"least-requests": leastrequests.New(all), "random-of-two": randomtwo.New(all)} {
		for seed := range uint64(20) {
			c, err := p.Pick(&routing.Request{Rand: routing.Mix(seed, 1)}, now)
			if err != nil || c.Upstream != idle {
				t.Fatalf("%s picked %v (%v)", name, c.Upstream, err)
			}
		}
	}
	var turn atomic.Uint64
	p := roundrobin.New(all, &turn)
	for i := range 4 {
		c, err := p.Pick(&routing.Request{}, now)
		if err != nil || c.Upstream != all[i%2] {
			t.Fatalf("round robin picked %v in turn %d (%v)", c.Upstream, i, err)
		}
	}
}

func TestCurrentCountsReplaceOwnShareOfAReport(t *testing.T) {
	u := upstream("u", 1)
	u.Load = routing.Load{Total: routing.Counts{Waiting: 5, Running: 7}, Yours: routing.Counts{Waiting: 2, Running: 9}}
	u.Work.Start(routing.Estimate{PromptTokens: 10})
	want := routing.Counts{Waiting: 4, PromptTokens: 10}
	if diff := cmp.Diff(want, u.CurrentCounts()); diff != "" {
		t.Fatal(diff)
	}
}
