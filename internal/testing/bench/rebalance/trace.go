package rebalance

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

const (
	// reportingRanks is how many ranks send their token counts in one window, in turns; see docs/design/rebalancing.md.
	reportingRanks = 4
	// sampledSteps is how many steps of each window are measured.
	sampledSteps = 2
	lostPercent  = 5
	late1Percent = 20
	late2Percent = 5
	// Lost marks a report that never arrives.
	Lost = -1

	stragglerSpeed = 0.65
	shiftWeight    = 2.5
	peakWeight     = 1.2
	rareWeight     = -2.0
	// manyTokens is the mean from which a Poisson count is drawn as a rounded normal value.
	manyTokens = 50
)

// Tokens is one rank's count of the tokens that it sent to each expert in a window.
type Tokens struct {
	Rank int
	// Delay is the number of windows by which the report is late, or Lost.
	Delay  int
	Counts []uint32
}

// TraceWindow is what happens in one window.
type TraceWindow struct {
	// Load is the share of full load, 0 to 1.
	Load float64
	// Speed is the speed of each rank; 1 is healthy.
	Speed []float64
	// Steps holds the tokens of each cell in each sampled step.
	Steps [sampledSteps][]float64
	// Reports are the token counts that ranks send of this window.
	Reports []Tokens
}

// Trace is what a group meets from the first window to the last.
type Trace struct {
	Scenario Scenario
	Seed     uint64
	// Before is the expected popularity of each cell over the day before; it sums to 1 in each layer.
	Before  []float64
	Windows []TraceWindow
}

// generator holds the state of a trace that is being made.
type generator struct {
	d        Deployment
	scenario Scenario
	rng      *rand.Rand
	topics   *topics
	// onset and end bound the event of a scenario, in windows.
	onset, end int
	slowRank   int
}

// NewTrace makes the trace of a scenario; equal arguments give equal traces.
func NewTrace(d Deployment, sc Scenario, seed uint64, length time.Duration) *Trace {
	n := int(length / Window)
	rng := rand.New(rand.NewPCG(seed, scenarioStream(sc)))
	g := &generator{d: d, scenario: sc, rng: rng, topics: newTopics(d, sc, rng)}
	g.onset = n/4 + rng.IntN(n/8+1)
	g.end = g.onset + n/2
	if sc == ScenarioShift {
		g.onset, g.end = n/2, n
	}
	g.slowRank = rng.IntN(d.Shape.Ranks)
	t := &Trace{Scenario: sc, Seed: seed, Before: g.before()}
	for w := range n {
		t.Windows = append(t.Windows, g.window(w))
	}
	return t
}

func scenarioStream(sc Scenario) uint64 {
	for i, s := range Scenarios() {
		if s == sc {
			return uint64(i)
		}
	}
	return math.MaxUint64
}

// before sums the tokens of a usual day, without this day's event, slow changes and noise.
func (g *generator) before() []float64 {
	sum := make([]float64, g.d.Shape.Cells())
	const perDay = int(24 * time.Hour / Window)
	for w := 0; w < perDay; w += 10 {
		hour := hourOf(w)
		floats.AddScaled(sum, g.load(hour), g.topics.popularity(g.topics.usualMix(hour)))
	}
	normalizeLayers(g.d.Shape, sum)
	return sum
}

func hourOf(w int) float64 { return math.Mod(float64(w)*Window.Hours(), 24) }

func (g *generator) load(hour float64) float64 {
	if g.scenario == ScenarioNoise {
		return g.d.load(12)
	}
	return g.d.load(hour)
}

func (g *generator) window(w int) TraceWindow {
	hour := hourOf(w)
	tw := TraceWindow{Load: g.load(hour), Speed: g.speeds(w)}
	if g.scenario != ScenarioNoise {
		g.topics.drift()
	}
	logs := g.topics.logWeights(hour)
	if g.scenario == ScenarioShift && w >= g.onset {
		logs[len(logs)-1] += shiftWeight * math.Min(1, float64(w-g.onset+1)/2)
	}
	mix := softmax(logs)
	total := make([]float64, g.d.Shape.Cells())
	first := w * reportingRanks
	reporting := map[int]bool{}
	for i := range reportingRanks {
		reporting[(first+i)%g.d.Shape.Ranks] = true
	}
	for rank := range g.d.Shape.Ranks {
		pop := g.topics.popularity(g.requests(mix, tw.Load))
		floats.Add(total, pop)
		if reporting[rank] {
			tw.Reports = append(tw.Reports, g.report(rank, pop, tw.Load))
		}
	}
	normalizeLayers(g.d.Shape, total)
	batch := g.d.BatchPerRank * float64(g.d.Shape.Ranks) * tw.Load
	for s := range tw.Steps {
		tw.Steps[s] = make([]float64, len(total))
		for c, p := range total {
			tw.Steps[s][c] = g.poisson(p * batch)
		}
	}
	return tw
}

func (g *generator) speeds(w int) []float64 {
	speed := make([]float64, g.d.Shape.Ranks)
	for r := range speed {
		speed[r] = 1
	}
	if g.scenario == ScenarioStraggler && w >= g.onset && w < g.end {
		speed[g.slowRank] = stragglerSpeed
	}
	return speed
}

// requests draws the mix of the requests that one rank happens to serve.
func (g *generator) requests(mix []float64, load float64) []float64 {
	got := make([]float64, len(mix))
	for k, p := range mix {
		got[k] = distuv.Gamma{Alpha: p*g.d.RequestsPerRank*load + 1e-3, Beta: 1, Src: g.rng}.Rand()
	}
	floats.Scale(1/floats.Sum(got), got)
	return got
}

func (g *generator) report(rank int, pop []float64, load float64) Tokens {
	steps := float64(Window) / float64(g.d.StepTime)
	t := Tokens{Rank: rank, Counts: make([]uint32, len(pop))}
	for c, p := range pop {
		t.Counts[c] = uint32(g.poisson(p * g.d.BatchPerRank * load * steps))
	}
	switch p := g.rng.IntN(100); {
	case p < lostPercent:
		t.Delay = Lost
	case p < lostPercent+late1Percent:
		t.Delay = 1
	case p < lostPercent+late1Percent+late2Percent:
		t.Delay = 2
	}
	return t
}

func (g *generator) poisson(mean float64) float64 {
	if mean < manyTokens {
		return distuv.Poisson{Lambda: mean + 1e-9, Src: g.rng}.Rand()
	}
	return math.Max(0, math.Round(mean+math.Sqrt(mean)*g.rng.NormFloat64()))
}

// normalizeLayers scales cells so that each layer sums to 1.
func normalizeLayers(shape expert.Shape, cells []float64) {
	for l := range shape.Layers {
		layer := cells[l*shape.Experts : (l+1)*shape.Experts]
		floats.Scale(1/floats.Sum(layer), layer)
	}
}
