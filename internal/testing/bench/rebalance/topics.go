package rebalance

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/floats"
)

const (
	topicCount = 6
	// sharedExponent and topicExponent are the Zipf exponents of the preference that all topics share and of their own.
	sharedExponent = 0.4
	topicExponent  = 0.5
	// layerCorrelation is the correlation of a topic's preferences between neighbouring layers.
	layerCorrelation = 0.6
	// The topics' weights and their preferences wander with these standard deviations and times to forget.
	mixWander     = 0.12
	mixForgetMin  = 120.0
	prefWander    = 0.12
	prefForgetMin = 360.0
)

// topics holds what each topic prefers and how much of it is asked for.
type topics struct {
	d        Deployment
	scenario Scenario
	rng      *rand.Rand
	// usual is the logarithm of each topic's weight without drift; phase is the hour of its daily high.
	usual, phase []float64
	// prefs holds, for each topic, the logarithm of each cell's weight; wander is added to it.
	prefs, wander [][]float64
	mixOffset     []float64
	// pops caches the popularity of each topic.
	pops [][]float64
}

func newTopics(d Deployment, sc Scenario, rng *rand.Rand) *topics {
	t := &topics{d: d, scenario: sc, rng: rng, mixOffset: make([]float64, topicCount)}
	shared := t.zipf(sharedExponent)
	for k := range topicCount {
		t.usual = append(t.usual, 0.3*rng.NormFloat64())
		t.phase = append(t.phase, 24*rng.Float64())
		prefs := t.zipf(topicExponent)
		floats.Add(prefs, shared)
		t.prefs = append(t.prefs, prefs)
		t.wander = append(t.wander, make([]float64, d.Shape.Cells()))
		t.pops = append(t.pops, make([]float64, d.Shape.Cells()))
		t.refresh(k)
	}
	t.usual[topicCount-1] = rareWeight
	return t
}

// zipf returns the logarithm of a Zipf weight for each cell. The order of a layer's experts is that of normal scores
// which are correlated from layer to layer.
func (t *topics) zipf(exponent float64) []float64 {
	n := t.d.Shape.Experts
	scores := make([]float64, n)
	for e := range scores {
		scores[e] = t.rng.NormFloat64()
	}
	out := make([]float64, 0, t.d.Shape.Cells())
	fresh := math.Sqrt(1 - layerCorrelation*layerCorrelation)
	for range t.d.Shape.Layers {
		order := make([]int, n)
		floats.Argsort(slices.Clone(scores), order)
		layer := make([]float64, n)
		for place, e := range order {
			layer[e] = -exponent * math.Log(float64(place+1))
		}
		out = append(out, layer...)
		for e := range scores {
			scores[e] = layerCorrelation*scores[e] + fresh*t.rng.NormFloat64()
		}
	}
	return out
}

// drift lets the mix and the preferences wander for one window.
func (t *topics) drift() {
	for k := range topicCount {
		wander(t.rng, t.mixOffset[k:k+1], mixWander, mixForgetMin)
		wander(t.rng, t.wander[k], prefWander, prefForgetMin)
		t.refresh(k)
	}
}

// wander moves values by one step of an Ornstein-Uhlenbeck process around 0 that starts at 0.
func wander(rng *rand.Rand, values []float64, sd, forget float64) {
	keep := math.Exp(-1 / forget)
	kick := sd * math.Sqrt(1-keep*keep)
	for i := range values {
		values[i] = keep*values[i] + kick*rng.NormFloat64()
	}
}

func (t *topics) refresh(k int) {
	for c := range t.pops[k] {
		t.pops[k][c] = math.Exp(t.prefs[k][c] + t.wander[k][c])
	}
	normalizeLayers(t.d.Shape, t.pops[k])
}

// usualLogs returns the logarithm of the topics' weights on a usual day.
func (t *topics) usualLogs(hour float64) []float64 {
	logs := slices.Clone(t.usual)
	if t.scenario == ScenarioNoise {
		return logs
	}
	for k := range logs {
		logs[k] += t.d.swing * math.Cos(2*math.Pi*(hour-t.phase[k])/24)
	}
	if t.scenario == ScenarioDawn {
		peak := peakWeight * bump(hour, 5, 1)
		logs[0] += peak
		logs[1] += peak
	}
	return logs
}

func (t *topics) usualMix(hour float64) []float64 { return softmax(t.usualLogs(hour)) }

// logWeights returns the logarithm of the topics' weights with their present drift.
func (t *topics) logWeights(hour float64) []float64 {
	logs := t.usualLogs(hour)
	floats.Add(logs, t.mixOffset)
	return logs
}

// popularity mixes the topics' preferences; each layer sums to 1.
func (t *topics) popularity(mix []float64) []float64 {
	out := make([]float64, t.d.Shape.Cells())
	for k, share := range mix {
		floats.AddScaled(out, share, t.pops[k])
	}
	return out
}

func softmax(logs []float64) []float64 {
	out := make([]float64, len(logs))
	for i, v := range logs {
		out[i] = math.Exp(v)
	}
	floats.Scale(1/floats.Sum(out), out)
	return out
}
