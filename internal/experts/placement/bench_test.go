package placement_test

import (
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// BenchmarkObserve measures processing one rank's report in a group of the size that the product must support.
func BenchmarkObserve(b *testing.B) {
	g := placement.Group{
		Shape: expert.Shape{Ranks: 64, Experts: 128, Layers: 60}, Slots: 240, ExpertBytes: 40 << 20, StoreRate: 1e9,
	}
	p := placement.NewPolicy(g)
	tokens := make([]uint32, g.Shape.Cells())
	for c := range tokens {
		tokens[c] = uint32(1 + c%7)
	}
	b.ReportAllocs()
	w := 0
	for b.Loop() {
		r := placement.Report{Rank: w % 8, Window: uint64(w / 8), Tokens: tokens, Processed: 1, Busy: 1, Step: uint64(w)}
		if err := p.Observe(windowTime(w/8), r); err != nil {
			b.Fatal(err)
		}
		w++
	}
}
