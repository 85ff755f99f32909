package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gonum.org/v1/gonum/floats"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

var pair = expert.Shape{Ranks: 2, Experts: 2, Layers: 1}

func TestLateDoubledAndMissingReports(t *testing.T) {
	p := newPopularity(pair)
	var closed [][]float64
	see := func(window uint64, rank int, a, b uint32) {
		closed = append(closed, p.observe(Report{Rank: rank, Window: window, Tokens: []uint32{a, b}})...)
	}
	see(0, 0, 1, 3)
	see(0, 0, 100, 0) // doubled
	see(1, 0, 1, 0)
	see(0, 1, 3, 1) // late but in time
	see(3, 0, 1, 1) // closes window 0; nothing is heard of window 2
	see(0, 1, 9, 0) // too late
	see(9, 0, 1, 1) // closes all up to 6
	want := [][]float64{{0.5, 0.5}, {1, 0}, {0.5, 0.5}}
	if diff := cmp.Diff(want, closed); diff != "" {
		t.Error(diff)
	}
	see(math.MaxUint64-10, 0, 1, 1)
	if len(p.open) > openWindows {
		t.Errorf("%d windows are open after a gap", len(p.open))
	}
}

// estimate feeds windows and returns the believed average.
func estimate(windows int, next func(w int) float64) *average {
	p := newPopularity(pair)
	for w := range windows {
		v := next(w)
		p.observe(Report{Window: uint64(w), Tokens: []uint32{uint32(1e6 * v), uint32(1e6 * (1 - v))}})
	}
	return p.best()
}

func TestLongMemoryOnNoiseAndShortOnDrift(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	noisy := func(int) float64 { return 0.5 + 0.05*rng.NormFloat64() }
	if a := estimate(200, noisy); a.memory != memories[0] {
		t.Errorf("memory %v on noise", a.memory)
	}
	drift := func(w int) float64 { return 0.2 + 0.003*float64(w) + 0.005*rng.NormFloat64() }
	if a := estimate(200, drift); a.memory == memories[0] {
		t.Errorf("memory %v on drift", a.memory)
	}
	jump := func(w int) float64 { return 0.2 + 0.5*float64(w/100) + 0.005*rng.NormFloat64() }
	if a := estimate(112, jump); math.Abs(a.value[0]-0.7) > 0.05 {
		t.Errorf("%.2f nine windows after a jump to 0.7", a.value[0])
	}
}

func TestShortMemoryIsHardlyEverBelievedOnNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	p := newPopularity(pair)
	wrong := 0
	const windows = 5000
	for w := range uint64(windows) {
		v := 0.5 + 0.05*rng.NormFloat64()
		p.observe(Report{Window: w, Tokens: []uint32{uint32(1e6 * v), uint32(1e6 * (1 - v))}})
		if p.best().memory != memories[0] {
			wrong++
		}
	}
	if share := float64(wrong) / windows; share > 0.02 {
		t.Errorf("a short memory is believed in %.3f of the windows", share)
	}
}

func TestNoiseOfAnAverageIsPredicted(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	const sd = 0.01
	for _, seen := range []int{5, 20, 200} {
		misses := 0.0
		var factor float64
		const tries = 2000
		for range tries {
			a := average{memory: memories[0]}
			for range seen {
				a.add([]float64{sd * rng.NormFloat64()})
			}
			misses += a.value[0] * a.value[0]
			factor = a.noiseFactor()
		}
		if got := math.Sqrt(misses/tries) / sd; math.Abs(got/factor-1) > 0.1 {
			t.Errorf("after %d windows: noise %.3f, predicted %.3f", seen, got, factor)
		}
	}
}

func TestEvenSharesFinishTogether(t *testing.T) {
	ly := newLayer([]float64{0.6, 0.3, 0.1}, []float64{1, 0.5, 1})
	for e, ranks := range [][]int{{0, 1, 2}, {0}, {2}} {
		for _, r := range ranks {
			ly.add(e, r)
		}
	}
	ly.even()
	want := 1 / floats.Sum(ly.speed)
	for r := range ly.load {
		if math.Abs(ly.time(r)-want) > 1e-6 {
			t.Errorf("rank %d takes %.4f, want %.4f", r, ly.time(r), want)
		}
	}
}
