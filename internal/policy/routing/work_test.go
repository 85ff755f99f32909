package routing_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing"
)

func TestFlightUpdatesCounts(t *testing.T) {
	w := &routing.Work{}
	f := w.Start(routing.Estimate{FirstClass: true, PromptTokens: 100, CachedTokens: 64, OutputTokens: 3})
	steps := []struct {
		do   func()
		want routing.Counts
	}{
		{func() {}, routing.Counts{Waiting: 1, PromptTokens: 36, FirstWaiting: 1, FirstPromptTokens: 36, OutputTokens: 3}},
		{func() { f.Token(1) }, routing.Counts{Running: 1, OutputTokens: 2}},
		{func() { f.Token(5) }, routing.Counts{Running: 1}},
		{f.End, routing.Counts{}},
		{f.End, routing.Counts{}},
		{func() { f.Token(1) }, routing.Counts{}},
	}
	for i, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, w.Counts()); diff != "" {
			t.Errorf("step %d: %s", i, diff)
		}
	}
}

func TestCountsReturnToZeroWhateverEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &routing.Work{}
		var flights []*routing.Flight
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				flights = append(flights, w.Start(routing.Estimate{
					FirstClass:   rapid.Bool().Draw(t, "first"),
					PromptTokens: rapid.IntRange(0, 500).Draw(t, "prompt"),
					CachedTokens: rapid.IntRange(0, 600).Draw(t, "cached"),
					OutputTokens: rapid.IntRange(0, 50).Draw(t, "output"),
				}))
			case 1:
				if len(flights) > 0 {
					rapid.SampledFrom(flights).Draw(t, "flight").Token(rapid.IntRange(1, 40).Draw(t, "n"))
				}
			case 2:
				if len(flights) > 0 {
					rapid.SampledFrom(flights).Draw(t, "flight").End()
				}
			}
			c := w.Counts()
			if c.Waiting < c.FirstWaiting || c.PromptTokens < c.FirstPromptTokens || c.FirstPromptTokens < 0 || c.OutputTokens < 0 {
				t.Fatalf("impossible counts %+v", c)
			}
		}
		for _, f := range flights {
			f.End()
		}
		if c := w.Counts(); c != (routing.Counts{}) {
			t.Fatalf("left over: %+v", c)
		}
	})
}
