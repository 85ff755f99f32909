package rebalance

import (
	"fmt"
	"testing"
)

func BenchmarkDecision(b *testing.B) {
	for _, shape := range costSizes {
		b.Run(fmt.Sprintf("ranks=%d/experts=%d/layers=%d", shape.Ranks, shape.Experts, shape.Layers), func(b *testing.B) {
			d, err := NewDecision(shape, 1)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := d.Run(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
