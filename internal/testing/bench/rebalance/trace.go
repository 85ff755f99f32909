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
	// reportingRanks is the number of ranks that send token counts in a window. Ranks take turns; see
	// docs/design/rebalancing.md.
	reportingRanks = 4
	// sampledSteps is the number of measured steps per window.
	sampledSteps = 2
	// Percentages of the reports that are lost, or arrive one or two windows late.
	lostPercent  = 5
	late1Percent = 20
	late2Percent = 5
	// Lost marks a report that never arrives.
	Lost = -1

	// stragglerSpeed is the speed of the slow rank in ScenarioStraggler; 1 is healthy.
	stragglerSpeed = 0.65
	// Logarithms of topic weights: the weights added at the shift and at the dawn peak, and the base weight of the rare
	// topic.
	shiftWeight = 2.5
	peakWeight  = 1.2
	rareWeight  = -2.0
	// normalApproxMean is the mean from which a Poisson count is approximated by a rounded normal value.
	normalApproxMean = 50
)

// TokenReport holds one rank's counts of the tokens that it sent to each expert in a window.
type TokenReport struct {
	Rank int
	// Delay is the number of windows by which the report is late, or Lost.
	Delay  int
	Counts []uint32
}

// TraceWindow is one window of a trace.
type TraceWindow struct {
	// Load is the load as a share of full load, 0 to 1.
	Load float64
	// Speed holds the speed of each rank; 1 is healthy.
	Speed []float64
	// Steps holds the tokens of each cell in each sampled step.
	Steps [sampledSteps][]float64
	// Reports holds the token counts that ranks send for this window.
	Reports []TokenReport
}

// Trace is the simulated input of a group: load, rank speeds, tokens and reports for each window.
type Trace struct {
	Scenario Scenario
	Seed     uint64
	// PriorPopularity is the expected popularity of each cell over the previous day; each layer sums to 1.
	PriorPopularity []float64
	Windows         []TraceWindow
}

// generator holds the state of trace generation.
type generator struct {
	d        Deployment
	scenario Scenario
	rng      *rand.Rand
	topics   *topics
	// onset and end are the first window of the scenario's event and the first window after it.
	onset, end int
	slowRank   int
}

// NewTrace generates the trace of a scenario; equal arguments give equal traces.
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
	t := &Trace{Scenario: sc, Seed: seed, PriorPopularity: g.priorPopularity()}
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

// priorPopularity returns the popularity over a baseline day, without the scenario's event, drift and noise.
func (g *generator) priorPopularity() []float64 {
	sum := make([]float64, g.d.Shape.Cells())
	const windowsPerDay = int(24 * time.Hour / Window)
	for w := 0; w < windowsPerDay; w += 10 {
		hour := hourOf(w)
		floats.AddScaled(sum, g.load(hour), g.topics.popularity(g.topics.baselineMix(hour)))
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
		pop := g.topics.popularity(g.requestMix(mix, tw.Load))
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

// requestMix generates the random mix of topics in the requests that one rank serves.
func (g *generator) requestMix(mix []float64, load float64) []float64 {
	sampled := make([]float64, len(mix))
	for k, p := range mix {
		sampled[k] = distuv.Gamma{Alpha: p*g.d.RequestsPerRank*load + 1e-3, Beta: 1, Src: g.rng}.Rand()
	}
	floats.Scale(1/floats.Sum(sampled), sampled)
	return sampled
}

func (g *generator) report(rank int, pop []float64, load float64) TokenReport {
	steps := float64(Window) / float64(g.d.StepTime)
	t := TokenReport{Rank: rank, Counts: make([]uint32, len(pop))}
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
	if mean < normalApproxMean {
		return distuv.Poisson{Lambda: mean + 1e-9, Src: g.rng}.Rand()
	}
	return math.Max(0, math.Round(mean+math.Sqrt(mean)*g.rng.NormFloat64()))
}

// normalizeLayers scales cells in place so that each layer sums to 1.
func normalizeLayers(shape expert.Shape, cells []float64) {
	for l := range shape.Layers {
		layer := cells[l*shape.Experts : (l+1)*shape.Experts]
		floats.Scale(1/floats.Sum(layer), layer)
	}
}
