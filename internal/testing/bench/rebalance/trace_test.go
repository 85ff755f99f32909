package rebalance

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
)

func TestTraceDependsOnItsSeedAlone(t *testing.T) {
	d := Deployments()[0]
	a := NewTrace(d, ScenarioDawn, 1, 20*time.Minute)
	if diff := cmp.Diff(a, NewTrace(d, ScenarioDawn, 1, 20*time.Minute)); diff != "" {
		t.Error("equal seeds give different traces")
	}
	if cmp.Equal(a.PriorPopularity, NewTrace(d, ScenarioDawn, 2, 20*time.Minute).PriorPopularity) {
		t.Error("different seeds give equal traces")
	}
}

func TestPopularityIsSkewedAndCorrelatedBetweenLayers(t *testing.T) {
	d := Deployments()[0]
	tr := NewTrace(d, ScenarioSteady, 1, 10*time.Minute)
	n := d.Shape.Experts
	for l := range d.Shape.Layers {
		layer := tr.PriorPopularity[l*n : (l+1)*n]
		if math.Abs(floats.Sum(layer)-1) > 1e-9 {
			t.Errorf("layer %d sums to %v", l, floats.Sum(layer))
		}
		if hottest := floats.Max(layer) * float64(n); hottest < 2 || hottest > 20 {
			t.Errorf("layer %d: the hottest expert has %.1f times the mean", l, hottest)
		}
	}
	if c := stat.Correlation(tr.PriorPopularity[:n], tr.PriorPopularity[n:2*n], nil); c < 0.2 || c > 0.95 {
		t.Errorf("correlation of neighbouring layers is %.2f", c)
	}
}

// tokenShares returns each cell's share of the sampled tokens in windows [from, to).
func tokenShares(tr *Trace, from, to int) []float64 {
	sum := make([]float64, len(tr.PriorPopularity))
	for _, w := range tr.Windows[from:to] {
		for _, step := range w.Steps {
			floats.Add(sum, step)
		}
	}
	floats.Scale(1/floats.Sum(sum), sum)
	return sum
}

func TestOnlyNoiseScenarioHasNoDrift(t *testing.T) {
	d := Deployments()[0]
	for _, sc := range Scenarios() {
		tr := NewTrace(d, sc, 3, 8*time.Hour)
		n := len(tr.Windows)
		moved := floats.Distance(tokenShares(tr, 0, n/4), tokenShares(tr, 3*n/4, n), 1) / 2
		if constant := sc == ScenarioNoise; constant != (moved < 0.02) {
			t.Errorf("%s: %.3f of the tokens changed their expert", sc, moved)
		}
	}
}

func TestStragglerSlowsOneRankForHalfTheTrace(t *testing.T) {
	d := Deployments()[0]
	tr := NewTrace(d, ScenarioStraggler, 1, 4*time.Hour)
	slow := 0
	for _, w := range tr.Windows {
		below := floats.Count(func(v float64) bool { return v < 1 }, w.Speed)
		if below > 1 {
			t.Fatalf("%d slow ranks", below)
		}
		slow += below
	}
	if slow != len(tr.Windows)/2 {
		t.Errorf("slow in %d of %d windows", slow, len(tr.Windows))
	}
}
