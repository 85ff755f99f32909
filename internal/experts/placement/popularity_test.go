package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

var twoRanks = expert.Shape{Ranks: 2, Experts: 2, Layers: 1}

func TestLateDuplicateAndMissingReports(t *testing.T) {
	p := newPopularity(twoRanks)
	var closed [][]float64
	report := func(window uint64, rank int, a, b uint32) {
		closed = append(closed, p.observe(Report{Rank: rank, Window: window, Tokens: []uint32{a, b}})...)
	}
	report(0, 0, 1, 3)
	report(0, 0, 100, 0) // duplicate
	report(1, 0, 1, 0)
	report(0, 1, 3, 1) // late, but its window is open
	report(3, 0, 1, 1) // closes window 0; window 2 has no report
	report(0, 1, 9, 0) // too late
	report(9, 0, 1, 1) // closes all windows up to 6
	want := [][]float64{{0.5, 0.5}, {1, 0}, {0.5, 0.5}}
	if diff := cmp.Diff(want, closed); diff != "" {
		t.Error(diff)
	}
	report(math.MaxUint64-10, 0, 1, 1)
	if len(p.open) > openWindows {
		t.Errorf("%d windows are open after a gap", len(p.open))
	}
}

// bestAverage records windows and returns the average in use afterwards.
func bestAverage(windows int, next func(w int) float64) *average {
	p := newPopularity(twoRanks)
	for w := range windows {
		v := next(w)
		p.observe(Report{Window: uint64(w), Tokens: []uint32{uint32(1e6 * v), uint32(1e6 * (1 - v))}})
	}
	return p.best()
}

func TestLongMemoryOnNoiseShortMemoryOnDrift(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	noisy := func(int) float64 { return 0.5 + 0.05*rng.NormFloat64() }
	if a := bestAverage(200, noisy); a.memory != memoryLengths[0] {
		t.Errorf("memory %v on noise", a.memory)
	}
	drift := func(w int) float64 { return 0.2 + 0.003*float64(w) + 0.005*rng.NormFloat64() }
	if a := bestAverage(200, drift); a.memory == memoryLengths[0] {
		t.Errorf("memory %v on drift", a.memory)
	}
	jump := func(w int) float64 { return 0.2 + 0.5*float64(w/100) + 0.005*rng.NormFloat64() }
	if a := bestAverage(112, jump); math.Abs(a.value[0]-0.7) > 0.05 {
		t.Errorf("%.2f nine windows after a jump to 0.7", a.value[0])
	}
}

// Guards against moves of experts that only follow noise. A short average that is best only by chance must rarely be
// used, because its estimate swings.
func TestShortMemoryIsRarelyChosenOnNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	p := newPopularity(twoRanks)
	wrong := 0
	const windows = 5000
	for w := range uint64(windows) {
		v := 0.5 + 0.05*rng.NormFloat64()
		p.observe(Report{Window: w, Tokens: []uint32{uint32(1e6 * v), uint32(1e6 * (1 - v))}})
		if p.best().memory != memoryLengths[0] {
			wrong++
		}
	}
	if share := float64(wrong) / windows; share > 0.02 {
		t.Errorf("a short memory is used in %.3f of the windows", share)
	}
}

func TestNoiseFactorPredictsNoiseOfAverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	const sd = 0.01
	for _, windows := range []int{5, 20, 200} {
		squaredErrors := 0.0
		var factor float64
		const tries = 2000
		for range tries {
			a := average{memory: memoryLengths[0]}
			for range windows {
				a.add([]float64{sd * rng.NormFloat64()})
			}
			squaredErrors += a.value[0] * a.value[0]
			factor = a.noiseFactor()
		}
		if got := math.Sqrt(squaredErrors/tries) / sd; math.Abs(got/factor-1) > 0.1 {
			t.Errorf("after %d windows: noise %.3f, predicted %.3f", windows, got, factor)
		}
	}
}

func TestBalancedSharesFinishTogether(t *testing.T) {
	ly := newLayer([]float64{0.6, 0.3, 0.1}, []float64{1, 0.5, 1})
	for e, ranks := range [][]int{{0, 1, 2}, {0}, {2}} {
		for _, r := range ranks {
			ly.add(e, r)
		}
	}
	ly.balance()
	want := 1 / floats.Sum(ly.speed)
	for r := range ly.load {
		if math.Abs(ly.time(r)-want) > 1e-6 {
			t.Errorf("rank %d takes %.4f, want %.4f", r, ly.time(r), want)
		}
	}
}
